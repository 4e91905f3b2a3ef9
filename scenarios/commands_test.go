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

// waitTimeout bounds each wait in a scenario.
const waitTimeout = 20 * time.Second

// exitCode runs a program and compares its exit code with the first argument.
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

// deploy copies an example, replaces its addresses by free loopback addresses, and
// sets $STORE, $CALLER1, $OPERATOR1 and so on.
func deploy(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: deploy beridze|dansk")
	}
	block, err := ports.Reserve(ports.MaxCount)
	ts.Check(err)
	ts.Defer(func() { block.Close() })
	port := regexp.MustCompile(`127\.0\.0\.1:\d+`)
	replacements := map[string]string{}
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
			if replacements[string(old)] == "" {
				replacements[string(old)] = block.Address(len(replacements)).String()
			}
			return []byte(replacements[string(old)])
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

// setAddresses sets the variables of addresses from the entries' settings files.
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

// until runs a program repeatedly until its exit code is 0 and its output matches
// the regular expression.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until pattern program args...")
	}
	pattern := regexp.MustCompile(args[0])
	repeat(ts, args[0], func() bool {
		return ts.Exec(args[1], args[2:]...) == nil && pattern.MatchString(ts.ReadFile("stdout"))
	})
}

// get requests a URL repeatedly until the status equals the given one and the body
// and headers match the pattern. The status "none" means no answer. Further
// arguments are request headers of the form Name:value.
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

// send sends one request without retries and compares its answer with the status
// and the pattern.
func send(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 5 {
		ts.Fatalf("usage: send method url status pattern body headers...")
	}
	status, seen := exchange(ts, args[0], args[1], args[4], args[5:])
	ts.Logf("status %s\n%s", status, seen)
	if !regexp.MustCompile("^("+args[2]+")$").MatchString(status) || !regexp.MustCompile(args[3]).MatchString(seen) {
		ts.Fatalf("want status %s and an answer that matches %s", args[2], args[3])
	}
}

// ticket requests a ticket for a service from an entry and stores it in a variable.
func ticket(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: ticket address service VARIABLE")
	}
	_, seen := exchange(ts, http.MethodPost, args[0]+"/v1/ticket/"+args[1], "", nil)
	m := regexp.MustCompile(`"ticket":"([^"]*)"`).FindStringSubmatch(seen)
	if m == nil {
		ts.Fatalf("no ticket in answer: %s", seen)
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

// sum adds up one count of all backend servers of a service and compares the total
// with a pattern.
func sum(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: sum service count pattern [request id prefix]")
	}
	total, prefix := 0, strings.Join(args[3:], "")
	eachServer(ts, args[0], func(url string) {
		_, seen := exchange(ts, http.MethodGet, url+"?prefix="+prefix, "", nil)
		m := regexp.MustCompile(`"` + args[1] + `":(\d+)`).FindStringSubmatch(seen)
		if m == nil {
			ts.Fatalf("%s: no %s in %s", url, args[1], seen)
		}
		n, err := strconv.Atoi(m[1])
		ts.Check(err)
		total += n
	})
	if !regexp.MustCompile("^(" + args[2] + ")$").MatchString(strconv.Itoa(total)) {
		ts.Fatalf("%s of %s is %d, want %s", args[1], args[0], total, args[2])
	}
}

// silence stalls the open connections of all backend servers of a service.
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

// running waits until a backend server of a service runs one request, and stores
// the server's name in a variable.
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

// eachServer calls do with the control URL of each backend server of a service.
func eachServer(ts *testscript.TestScript, service string, do func(url string)) {
	data := ts.ReadFile("world/services/" + service + ".service.toml")
	for _, m := range regexp.MustCompile(`(?m)^name = "(`+service+`-\d+)"$`).FindAllStringSubmatch(data, -1) {
		do(ts.Getenv("STORE") + "/servers/" + service + "/" + m[1])
	}
}

// exchange sends one request and returns the status, and the body with the headers
// that scenarios match. The status is "none" if there is no answer.
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

// repeat calls done every 50 ms until it returns true, for at most waitTimeout.
func repeat(ts *testscript.TestScript, what string, done func() bool) {
	end := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(end) {
			ts.Fatalf("%s: condition not met within %s", what, waitTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// signal sends SIGTERM to the first background program whose arguments contain a
// name.
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

// end kills all background programs.
func end(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 0 {
		ts.Fatalf("usage: end")
	}
	for _, cmd := range ts.BackgroundCmds() {
		cmd.Process.Kill()
	}
}

// upload is a program that sends a body of a given size over a given duration and
// prints the answer. Usage: upload url bytes duration.
func upload() {
	size, err := strconv.Atoi(os.Args[2])
	exitOn(err)
	duration, err := time.ParseDuration(os.Args[3])
	exitOn(err)
	body, sender := io.Pipe()
	go func() {
		const parts = 100
		for range parts {
			time.Sleep(duration / parts)
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
