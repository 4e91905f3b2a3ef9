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

// get asks a URL until the answer's status, and its body and headers, match.
// The status "none" is for no answer. Later arguments are headers, as
// Name:value.
func get(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: get url status pattern headers...")
	}
	last := ""
	repeat(ts, args[0], func() bool {
		status, seen := exchange(ts, http.MethodGet, args[0], "", args[3:])
		if seen != last {
			ts.Logf("status %s\n%s", status, seen)
		}
		last = seen
		return status == args[1] && regexp.MustCompile(args[2]).MatchString(seen)
	})
}

// send sends one request, once, and holds its answer against status and
// pattern.
func send(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 5 {
		ts.Fatalf("usage: send method url status pattern body headers...")
	}
	status, seen := exchange(ts, args[0], args[1], args[4], args[5:])
	ts.Logf("status %s\n%s", status, seen)
	if !regexp.MustCompile("^("+args[2]+")$").MatchString(status) || !regexp.MustCompile(args[3]).MatchString(seen) {
		ts.Fatalf("want status %s and %s", args[2], args[3])
	}
}

// ticket takes a ticket for a service at an entry into a variable.
func ticket(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: ticket address service VARIABLE")
	}
	_, seen := exchange(ts, http.MethodPost, args[0]+"/v1/ticket/"+args[1], "", nil)
	m := regexp.MustCompile(`"ticket":"([^"]*)"`).FindStringSubmatch(seen)
	if m == nil {
		ts.Fatalf("no ticket: %s", seen)
	}
	ts.Setenv(args[2], m[1])
}

// faults sets the faults of all backend servers of a service.
func faults(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: faults service json")
	}
	eachServer(ts, args[0], func(url string) {
		if status, seen := exchange(ts, http.MethodPut, url, args[1], nil); status != "204" {
			ts.Fatalf("%s: status %s: %s", url, status, seen)
		}
	})
}

// sum adds up a count of what all backend servers of a service saw, and holds
// it against a pattern.
func sum(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: sum service count pattern [prefix of request ids]")
	}
	all, prefix := 0, strings.Join(args[3:], "")
	eachServer(ts, args[0], func(url string) {
		_, seen := exchange(ts, http.MethodGet, url+"?prefix="+prefix, "", nil)
		m := regexp.MustCompile(`"` + args[1] + `":(\d+)`).FindStringSubmatch(seen)
		if m == nil {
			ts.Fatalf("%s: no %s in %s", url, args[1], seen)
		}
		n, err := strconv.Atoi(m[1])
		ts.Check(err)
		all += n
	})
	if !regexp.MustCompile("^(" + args[2] + ")$").MatchString(strconv.Itoa(all)) {
		ts.Fatalf("%s of %s is %d, want %s", args[1], args[0], all, args[2])
	}
}

// silence lets the open connections of all backend servers of a service go
// silent.
func silence(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: silence service")
	}
	eachServer(ts, args[0], func(url string) {
		if status, seen := exchange(ts, http.MethodPut, url+"/silence", "", nil); status != "204" {
			ts.Fatalf("%s: status %s: %s", url, status, seen)
		}
	})
}

// running waits until a backend server of a service runs a request, and puts
// its name into a variable.
func running(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: running service VARIABLE")
	}
	found := ""
	repeat(ts, "running "+args[0], func() bool {
		eachServer(ts, args[0], func(url string) {
			if _, seen := exchange(ts, http.MethodGet, url, "", nil); strings.Contains(seen, `"running":1`) {
				found = url[strings.LastIndex(url, "/")+1:]
			}
		})
		return found != ""
	})
	ts.Setenv(args[1], found)
}

func eachServer(ts *testscript.TestScript, service string, do func(url string)) {
	data := ts.ReadFile("world/services/" + service + ".service.toml")
	for _, m := range regexp.MustCompile(`(?m)^name = "(`+service+`-\d+)"$`).FindAllStringSubmatch(data, -1) {
		do(ts.Getenv("STORE") + "/servers/" + service + "/" + m[1])
	}
}

// exchange sends one request and returns the status, and body and headers.
func exchange(ts *testscript.TestScript, method, url, body string, headers []string) (status, seen string) {
	req, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	ts.Check(err)
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ":")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "none", err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	ts.Check(err)
	seen = fmt.Sprintf("%s\n", data)
	for _, name := range []string{"Shallotpier-Code", "Shallotpier-Ran", "Shallotpier-Version", "Shallotpier-Entry", "Shallotpier-Server"} {
		seen += name + ": " + resp.Header.Get(name) + "\n"
	}
	return strconv.Itoa(resp.StatusCode), seen
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

// end ends all background programs at once.
func end(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: end")
	}
	for _, cmd := range ts.BackgroundCmds() {
		cmd.Process.Kill()
	}
}

// upload is a program that sends a body over a time and prints the answer:
// upload url bytes duration.
func upload() {
	size, err := strconv.Atoi(os.Args[2])
	exitOn(err)
	lasts, err := time.ParseDuration(os.Args[3])
	exitOn(err)
	body, sender := io.Pipe()
	go func() {
		const parts = 100
		for range parts {
			time.Sleep(lasts / parts)
			sender.Write(make([]byte, size/parts))
		}
		sender.Close()
	}()
	resp, err := http.Post("http://"+os.Args[1], "application/octet-stream", body)
	exitOn(err)
	data, err := io.ReadAll(resp.Body)
	exitOn(err)
	fmt.Printf("status %d, code %s, ran %s\n%s", resp.StatusCode, resp.Header.Get("Shallotpier-Code"), resp.Header.Get("Shallotpier-Ran"), data)
	os.Exit(0)
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
