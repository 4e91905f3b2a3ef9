package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// entryOptions are the settings of an entry that differ between cases.
type entryOptions struct {
	graceSeconds int
	stableMs     int
	drainMs      int
}

// place is an availability zone and its region.
type place struct{ zone, region string }

const heartbeatMs = 1500

// entry is the project's program as a process.
type entry struct {
	name   string
	ports  [6]int // callers, readiness, directory, peers, metrics, relay
	cmd    *exec.Cmd
	exited chan error
	log    *record
	path   string
	stdout string
}

// program is the command of deploy/system.toml, run from the repository's root.
const program = "target/shallotpier-entry"

func newEntry(folder, name, storeAddress string, at place, places []place, o entryOptions, log *record) (*entry, error) {
	e := &entry{name: name, log: log, path: filepath.Join(folder, name+".toml"), stdout: filepath.Join(folder, name+".log")}
	for i := range e.ports {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		e.ports[i] = port
	}
	regions := ""
	for _, p := range places {
		regions += fmt.Sprintf("%s = %q\n", p.zone, p.region)
	}
	settings := fmt.Sprintf(`instance = %q
zone = %q
region = %q
linkMbps = 1000.0

[listen]
callers = "127.0.0.1:%d"
readiness = "127.0.0.1:%d"
directory = "127.0.0.1:%d"
peers = "127.0.0.1:%d"
metrics = "127.0.0.1:%d"
relay = "127.0.0.1:%d"

[store]
address = %q
heartbeatMs = %d

[bounds]
stableMs = %d
drainMs = %d
graceSeconds = %d
directoryTTLSeconds = 5
resendShare = 0.2
resendAllowance = 62
coldOvershoot = 1.5
coldAllowance = 5

[regions]
%s`, name, at.zone, at.region, e.ports[0], e.ports[1], e.ports[2], e.ports[3], e.ports[4], e.ports[5], storeAddress,
		heartbeatMs, o.stableMs, o.drainMs, o.graceSeconds, regions)
	return e, os.WriteFile(e.path, []byte(settings), 0o600)
}

// The ports of entries are below the range that systems use for outgoing connections, which
// could otherwise take a port before its entry listens. Each process of this program begins
// at a block of its own.
const (
	firstPort     = 20_000
	lastPort      = 32_000
	portsOfACase  = 50
	blocksOfPorts = (lastPort - firstPort) / portsOfACase
)

var nextPort = firstPort + os.Getpid()%blocksOfPorts*portsOfACase

// freePort returns a port that is free for TCP and UDP, a different one at each call.
func freePort() (int, error) {
	for range 1000 {
		port := nextPort
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return port, nil
	}
	return 0, errors.New("no free port found")
}

func (e *entry) callers() string   { return fmt.Sprintf("127.0.0.1:%d", e.ports[0]) }
func (e *entry) readiness() string { return fmt.Sprintf("127.0.0.1:%d", e.ports[1]) }

func (e *entry) start() error {
	out, err := os.OpenFile(e.stdout, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "SHALLOTPIER_SETTINGS="+e.path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd, e.exited = cmd, make(chan error, 1)
	exited := e.exited
	go func() {
		err := cmd.Wait()
		e.log.printf("%s exited: %v", e.name, cmd.ProcessState)
		exited <- err
	}()
	e.log.printf("%s started, process %d", e.name, cmd.Process.Pid)
	return nil
}

// waitReady waits for a 200 of the readiness check.
func (e *entry) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + e.readiness() + "/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			e.log.printf("%s is ready", e.name)
			return nil
		}
	}
	return errors.New(e.name + " did not become ready")
}

func (e *entry) signal(s syscall.Signal) {
	e.log.printf("%s gets signal %v", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// stop sends SIGTERM, and SIGKILL after the grace period, as the platform does.
func (e *entry) stop(grace time.Duration) error {
	e.signal(syscall.SIGTERM)
	select {
	case err := <-e.exited:
		return err
	case <-time.After(grace):
		e.signal(syscall.SIGKILL)
		return <-e.exited
	}
}

// kill ends the process if it still runs.
func (e *entry) kill() {
	if e.cmd == nil || e.cmd.ProcessState != nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.exited
}
