package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// entry is a process of shallotpier-entry.
type entry struct {
	name, zone, region            string
	front, ready, directory       string
	peers, relay, metrics, folder string
	store                         string
	first                         bool
	graceSeconds                  int
	extraBounds                   string
	cmd                           *exec.Cmd
	exited                        chan struct{}
}

// regions maps the zones of the deployment to their regions.
var regions = map[string]string{
	"telavi-a": "east-kakheti", "gurjaani-b": "east-kakheti", "kutaisi-a": "west-imereti",
	"zestaponi-b": "west-imereti", "tbilisi-a": "tbilisi-core", "rustavi-b": "tbilisi-core",
}

// The ports of the deployment are below those that the kernel gives to outgoing connections, so
// that a port which is free for a while isn't taken by one.
// Plays that run at the same time take them from different blocks.
const (
	firstPort = 18000
	blockSize = 500
	blocks    = 28
)

// given holds the ports that were given out: a process may not listen there yet.
var given sync.Map

// freeAddresses returns loopback addresses with ports that were free a moment ago, for TCP and
// UDP.
func freeAddresses(n int) ([]string, error) {
	var out []string
	var open []io.Closer
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for range 50 * n {
		if len(out) == n {
			return out, nil
		}
		port := firstPort + os.Getpid()%blocks*blockSize + rand.IntN(blockSize)
		if _, taken := given.LoadOrStore(port, true); taken {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		open = append(open, l)
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		open = append(open, u)
		out = append(out, address)
	}
	return nil, errors.New("no free ports")
}

// listen listens at an address, or at a free one if that is empty.
func listen(address string) (net.Listener, error) {
	if address != "" {
		return net.Listen("tcp", address)
	}
	free, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", free[0])
}

// newEntry prepares an entry in a zone.
func newEntry(name, zone, store, folder string) (*entry, error) {
	a, err := freeAddresses(6)
	if err != nil {
		return nil, err
	}
	return &entry{
		name: name, zone: zone, region: regions[zone], store: store, folder: folder, first: true, graceSeconds: 6,
		front: a[0], ready: a[1], directory: a[2], peers: a[3], relay: a[4], metrics: a[5],
	}, nil
}

// settings returns what the template of the deploy file makes of the platform's fields.
func (e *entry) settings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance = %q\nzone = %q\nregion = %q\nlinkMbps = 1000.0\n", e.name, e.zone, e.region)
	if e.first {
		b.WriteString("firstStart = true\n")
	}
	fmt.Fprintf(&b, "\n[listen]\ncallers = %q\nreadiness = %q\ndirectory = %q\npeers = %q\nrelay = %q\nmetrics = %q\n", e.front, e.ready, e.directory, e.peers, e.relay, e.metrics)
	fmt.Fprintf(&b, "\n[store]\naddress = %q\nheartbeatMs = 1500\n", e.store)
	fmt.Fprintf(&b, "\n[bounds]\nstableMs = 3000\ndrainMs = 2000\ngraceSeconds = %d\ndirectoryTTLSeconds = 5\nresendShare = 0.2\nresendAllowance = 62\ncoldOvershoot = 1.5\ncoldAllowance = 5\n%s", e.graceSeconds, e.extraBounds)
	b.WriteString("\n[regions]\n")
	for zone, region := range regions {
		fmt.Fprintf(&b, "%s = %q\n", zone, region)
	}
	return b.String()
}

// start starts the process. Its log goes to a file in the folder.
func (e *entry) start() error {
	path := filepath.Join(e.folder, e.name+".toml")
	if err := os.WriteFile(path, []byte(e.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	e.cmd = exec.Command("target/shallotpier-entry")
	e.cmd.Env = []string{"SHALLOTPIER_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + e.folder}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(e.cmd, e.exited)
	return nil
}

// end kills the process if it runs.
func (e *entry) end() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	<-e.exited
}

// isReady does the platform's readiness check.
func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the entry is ready.
func (e *entry) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if e.isReady() {
			return true
		}
	}
	return false
}
