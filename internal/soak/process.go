package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/shallotpier/shallotpier/platform"
	"github.com/shallotpier/shallotpier/platform/standin"
)

const (
	// graceTime is what the entries' settings say of a planned stop.
	graceTime = 3 * time.Second
	pollTime  = 500 * time.Millisecond
	// Ports lie below those that systems give to outgoing connections, which
	// would take them between two starts of an entry.
	firstPort = 23_000
	lastPort  = 32_000
	portTries = 100
)

// process is an entry, which may be started several times.
type process struct {
	soak  *soak
	name  string
	zone  int
	ports [5]int
	store *proxy
	path  string
	// disturbed holds when faults struck the entry or its path to the store.
	disturbed disturbance

	// restarting is held from seeing that the process has ended to starting it
	// again, so that faults that overlap do not start two.
	restarting sync.Mutex

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	start    int       // how often it was started
	stopping time.Time // when a planned stop began; zero while none is under way
}

func newProcess(s *soak, i int) (*process, error) {
	e := &process{soak: s, name: fmt.Sprintf("entry-%d", i), zone: i % 2}
	p, err := newProxy(s.store.Address())
	if err != nil {
		return nil, eris.Wrap(err, "start a proxy")
	}
	e.store = p
	e.path = filepath.Join(s.options.Folder, e.name+".toml")
	return e, e.settle()
}

// settle finds free ports for the entry and writes its settings.
func (e *process) settle() error {
	for k := range e.ports {
		port, free, err := findPort()
		if err != nil {
			return err
		}
		defer free()
		e.ports[k] = port
	}
	return eris.Wrap(os.WriteFile(e.path, []byte(e.settings()), 0o600), "write settings")
}

// findPort takes a port that is free for TCP and UDP, until free is called.
func findPort() (port int, free func(), err error) {
	for range portTries {
		port = firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
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
	return 0, nil, eris.Errorf("no free port after %d tries", portTries)
}

// hasExited tells whether the process has ended.
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
callers = "127.0.0.1:%d"
readiness = "127.0.0.1:%d"
directory = "127.0.0.1:%d"
peers = "127.0.0.1:%d"
metrics = "127.0.0.1:%d"

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
coldOvershoot = 1.5
coldAllowance = 5

[regions]
z-0 = "r-0"
z-1 = "r-1"
`, e.name, zone(e.zone), region(e.zone), e.ports[0], e.ports[1], e.ports[2], e.ports[3], e.ports[4],
		e.store.address(), int(graceTime.Seconds()))
}

// begin starts the process.
func (e *process) begin() error {
	log, err := os.OpenFile(filepath.Join(e.soak.options.Folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open a log")
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(e.soak.options.Binary)
	cmd.Env = []string{platform.SettingsVariable + "=" + e.path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start an entry")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	exited := make(chan struct{})
	e.cmd, e.exited, e.stopping = cmd, exited, time.Time{}
	e.start++
	go func() {
		_ = cmd.Wait() // how it ended is seen from outside
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, by its id.
func (e *process) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Signal(s) // it may have ended meanwhile
	}
}

// kill ends the process at once.
func (e *process) kill() {
	e.signal(syscall.SIGKILL)
	e.wait()
}

// stop asks the process to end, waits for it, and kills it after the grace.
func (e *process) stop() {
	e.mu.Lock()
	e.stopping = time.Now()
	exited := e.exited
	e.mu.Unlock()
	e.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime):
		e.soak.note("%s killed after its grace", e.name)
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

// starts returns how often the entry was started.
func (e *process) starts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.start
}

func (e *process) isReady() bool {
	return standin.Ready(&http.Client{Timeout: pollTime}, fmt.Sprintf("127.0.0.1:%d", e.ports[1]))
}
