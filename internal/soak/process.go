package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/platform"
	"github.com/shallotpier/shallotpier/platform/standin"
)

const (
	// gracePeriod is the grace period for graceful shutdown in the entries' settings.
	gracePeriod      = 3 * time.Second
	readinessTimeout = 500 * time.Millisecond
	// Ports are below the range that systems use for outgoing connections, which
	// could otherwise take a port between two starts of an entry.
	firstPort = 23_000
	lastPort  = 32_000
	portTries = 100
)

// process is an entry that runs as a process and may be started several times.
type process struct {
	soak         *soak
	name         string
	zone         int
	ports        [6]int // for callers, readiness, directory, peers, metrics and relay
	storeProxy   *proxy
	settingsPath string
	// disturbance records the faults of the entry and of its path to the store.
	disturbance disturbance
	// outOfTouch records the faults and the starts after which the entry counts as
	// out of touch for the stableWindow.
	outOfTouch disturbance

	// relaunchMu is held from detecting that the process has exited until it is
	// started again, so that overlapping faults don't start two processes.
	relaunchMu sync.Mutex

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{}
	startCount    int // number of starts so far
	starts        []time.Time
	stoppingSince time.Time // start of a graceful shutdown; zero if none is in progress
}

func newProcess(s *soak, i int) (*process, error) {
	e := &process{soak: s, name: fmt.Sprintf("entry-%d", i), zone: i % 2}
	p, err := newProxy(s.ip, s.store.Address())
	if err != nil {
		return nil, eris.Wrap(err, "start store proxy")
	}
	e.storeProxy = p
	e.settingsPath = filepath.Join(s.options.Folder, e.name+".toml")
	return e, e.prepare()
}

// prepare assigns free ports to the entry and writes its settings.
func (e *process) prepare() error {
	for k := range e.ports {
		port, free, err := e.soak.reservePort()
		if err != nil {
			return err
		}
		defer free()
		e.ports[k] = port
	}
	return eris.Wrap(os.WriteFile(e.settingsPath, []byte(e.settings()), 0o600), "write settings")
}

// reservePort reserves a port that is free for TCP and UDP until free is called.
func (s *soak) reservePort() (port int, free func(), err error) {
	for range portTries {
		port = firstPort + rand.IntN(lastPort-firstPort)
		address := net.JoinHostPort(s.ip, strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			_ = l.Close()
			continue
		}
		return port, func() { _, _ = l.Close(), u.Close() }, nil
	}
	return 0, nil, eris.Errorf("no free port found in %d attempts", portTries)
}

// disturb records that a fault disturbs the entry or its path to the store from now
// until the given time.
func (e *process) disturb(until time.Time) {
	e.disturbance.add(until)
	e.outOfTouch.add(until)
}

// address returns the IP address and port of one of the entry's listeners, in the order
// of ports.
func (e *process) address(i int) string { return net.JoinHostPort(e.soak.ip, strconv.Itoa(e.ports[i])) }

// hasExited reports whether the process has exited.
func (e *process) hasExited() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

func (e *process) settings() string {
	return fmt.Sprintf(`instance = %q
zone = %q
region = %q
linkMbps = 1000

[listen]
callers = %q
readiness = %q
directory = %q
peers = %q
metrics = %q
relay = %q

[store]
address = %q
heartbeatMs = 1000

[bounds]
stableMs = 3000
drainMs = 2000
graceSeconds = %d
directoryTTLSeconds = 5
resendShare = 0.2
resendAllowance = 60
coldOvershoot = %g
coldAllowance = %d

[regions]
z-0 = "r-0"
z-1 = "r-1"
`, e.name, zone(e.zone), region(e.zone), e.address(0), e.address(1), e.address(2), e.address(3), e.address(4), e.address(5),
		e.storeProxy.address, int(gracePeriod.Seconds()), coldOvershoot, coldAllowance)
}

// launch starts the process, which appends its output to the entry's log file.
func (e *process) launch() error {
	log, err := os.OpenFile(filepath.Join(e.soak.options.Folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(e.soak.options.Binary)
	cmd.Env = []string{platform.SettingsVariable + "=" + e.settingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start entry")
	}
	e.outOfTouch.add(time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	exited := make(chan struct{})
	e.cmd, e.exited, e.stoppingSince = cmd, exited, time.Time{}
	e.startCount++
	e.starts = append(e.starts, time.Now())
	go func() {
		_ = cmd.Wait() // the status is not needed, callers observe the effects
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process by its ID.
func (e *process) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Signal(s) // fails if the process has exited
	}
}

// kill kills the process and waits for its end.
func (e *process) kill() {
	e.outOfTouch.add(time.Now())
	e.signal(syscall.SIGKILL)
	e.wait()
}

// stop requests a graceful shutdown, waits for the end of the process, and kills it
// after the gracePeriod.
func (e *process) stop() {
	e.outOfTouch.add(time.Now())
	e.mu.Lock()
	e.stoppingSince = time.Now()
	exited := e.exited
	e.mu.Unlock()
	e.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		e.soak.logFault("%s killed after the grace period", e.name)
		e.kill()
	}
}

func (e *process) wait() {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// currentStartCount returns the number of starts of the entry so far.
func (e *process) currentStartCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startCount
}

func (e *process) isReady() bool {
	return standin.Ready(&http.Client{Timeout: readinessTimeout}, e.address(1))
}

// startCountAt returns the number of starts until a time.
func (e *process) startCountAt(at time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for n < len(e.starts) && !e.starts[n].After(at) {
		n++
	}
	return n
}

// stopping reports whether a graceful shutdown of the given start is in progress.
func (e *process) stopping(startCount int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.stoppingSince.IsZero() && e.startCount == startCount
}
