package scenarios_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/shallotpier/shallotpier/internal/standin/ports"
)

// patience bounds every wait of a scenario.
const patience = 20 * time.Second

// exitCode runs a program and holds its exit code against the first argument.
func exitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exitcode N program args...")
	}
	code := "0"
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("%s: %v", args[1], err)
		}
		code = strconv.Itoa(exit.ExitCode())
	}
	if code != args[0] {
		ts.Fatalf("exit code %s, want %s", code, args[0])
	}
}

// deploy copies an example with free ports in place of its own, and sets
// $STORE, $CALLER1, $OPERATOR1 and so on.
func deploy(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: deploy beridze|dansk")
	}
	block, err := ports.Reserve(ports.MaxCount)
	ts.Check(err)
	ts.Defer(func() { block.Close() })
	port := regexp.MustCompile(`127\.0\.0\.1:\d+`)
	replaced := map[string]string{}
	root := filepath.Join(ts.Getenv("EXAMPLES"), args[0])
	err = filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		data = port.ReplaceAllFunc(data, func(old []byte) []byte {
			if replaced[string(old)] == "" {
				replaced[string(old)] = block.Address(len(replaced)).String()
			}
			return []byte(replaced[string(old)])
		})
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		to := ts.MkAbs(filepath.Join("world", relative))
		if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
			return err
		}
		return os.WriteFile(to, data, 0o600)
	})
	ts.Check(err)
	setAddresses(ts)
}

// setAddresses reads the entries' addresses back from their settings.
func setAddresses(ts *testscript.TestScript) {
	line := regexp.MustCompile(`(?m)^(caller|operator|store) = "(.*)"$`)
	for i := 1; i <= 7; i++ {
		data := ts.ReadFile(fmt.Sprintf("world/settings/entry-%d.toml", i))
		for _, m := range line.FindAllStringSubmatch(data, -1) {
			if m[1] == "store" {
				ts.Setenv("STORE", m[2])
				continue
			}
			ts.Setenv(fmt.Sprintf("%s%d", strings.ToUpper(m[1]), i), m[2])
		}
	}
}

// until runs a program again and again until it exits with 0 and prints what
// the regular expression matches.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until pattern program args...")
	}
	pattern := regexp.MustCompile(args[0])
	repeat(ts, args[0], func() bool {
		return ts.Exec(args[1], args[2:]...) == nil && pattern.MatchString(ts.ReadFile("stdout"))
	})
}

// get asks a URL until the answer's status and body match, and fails with
// what it saw last otherwise. Later arguments are headers, as Name:value.
func get(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: get url status pattern headers...")
	}
	request(ts, http.MethodGet, args, "")
}

// put is get with the method PUT and a body as its fourth argument.
func put(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: put url status pattern body headers...")
	}
	request(ts, http.MethodPut, append(args[:3:3], args[4:]...), args[3])
}

func request(ts *testscript.TestScript, method string, args []string, body string) {
	pattern := regexp.MustCompile(args[2])
	last := ""
	repeat(ts, args[0], func() bool {
		req, err := http.NewRequest(method, "http://"+args[0], strings.NewReader(body))
		ts.Check(err)
		for _, header := range args[3:] {
			name, value, _ := strings.Cut(header, ":")
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			if last != err.Error() {
				ts.Logf("%s", err)
			}
			last = err.Error()
			return args[1] == "none"
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		ts.Check(err)
		seen := fmt.Sprintf("%s\n", data)
		for _, name := range []string{"Shallotpier-Code", "Shallotpier-Ran", "Shallotpier-Version", "Shallotpier-Entry", "Shallotpier-Server"} {
			seen += name + ": " + resp.Header.Get(name) + "\n"
		}
		if seen != last {
			ts.Logf("status %d\n%s", resp.StatusCode, seen)
		}
		last = seen
		return strconv.Itoa(resp.StatusCode) == args[1] && pattern.MatchString(seen)
	})
}

func repeat(ts *testscript.TestScript, what string, done func() bool) {
	end := time.Now().Add(patience)
	for !done() {
		if time.Now().After(end) {
			ts.Fatalf("%s: not within %s", what, patience)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// signal sends SIGTERM to a named background program.
func signal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: signal name")
	}
	for _, cmd := range ts.BackgroundCmds() {
		if strings.Contains(strings.Join(cmd.Args, " "), args[0]) {
			ts.Check(cmd.Process.Signal(syscall.SIGTERM))
			return
		}
	}
	ts.Fatalf("no background program has %q in its arguments", args[0])
}
