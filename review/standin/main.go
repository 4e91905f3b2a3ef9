// Command standin runs one case of the review: it starts stand-ins of the platform's store,
// of upstreams and of callers, and the entry as a separate process.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// site is what a case runs on.
type site struct {
	folder string
	// places are those of the entries, in turn.
	places  []place
	log     *record
	store   *store
	entries []*entry
	servers []*server
	trouble bool
}

var cases = map[string]func(*site) int{
	"kept-connections-at-a-stop": keptConnectionsAtAStop,
	"long-grace":                 longGrace,
	"silent-connections":         silentConnections,
	"accepted-early":             acceptedEarly,
	"deadly-and-given-up":        deadlyAndGivenUp,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	s := &site{folder: temp, log: log, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		for _, e := range s.entries {
			e.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temp)
		} else {
			fmt.Println(temp)
		}
	}()
	log.printf("case %s, trouble %t", name, s.trouble)
	if s.store, err = startStore(log); err != nil {
		return s.fail(err)
	}
	status := cases[name](s)
	log.printf("exit status %d", status)
	return status
}

func (s *site) fail(err error) int {
	s.log.printf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return failed
}

// verdict records why the rule was broken or held.
func (s *site) verdict(isBroken bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	s.log.printf("%s", text)
	fmt.Println(text)
	if isBroken {
		return broken
	}
	return held
}

// route is a route of the configuration.
func route(prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"host": host, "path_prefix": prefix, "route_type": kind, "service": service, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": 800, "attempts": 2, "priority": 1, "session_affinity": false,
	}
}

func (s *site) configure(n int, routes map[string]any, idle time.Duration) {
	services := map[string]any{}
	for _, r := range routes {
		name := r.(map[string]any)["service"].(string)
		services[name] = map[string]any{"cold_start_s": 1.0, "cold_per_s": 40.0, "health_path": "/health"}
	}
	s.store.put("config", "main", map[string]any{
		"version": version(n), "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": idle.Milliseconds()},
	})
	s.log.printf("operator: configuration %s acknowledged", version(n))
}

// runOf returns what the servers did for a request, nil if none began to run it.
func (s *site) runOf(id string) *run {
	for _, b := range s.servers {
		if r := b.runOf(id); r != nil {
			return r
		}
	}
	return nil
}

// addServers starts upstreams of a service.
func (s *site) addServers(service string, count, slots int) error {
	for i := range count {
		b, err := newServer(s.store, s.log, fmt.Sprintf("i-%s-%d", service, i), service, s.places[i%len(s.places)].zone, slots)
		if err != nil {
			return err
		}
		b.serve()
		s.servers = append(s.servers, b)
	}
	return nil
}

// startEntries starts entries and waits until they are ready.
func (s *site) startEntries(count int, o entryOptions) error {
	stores := make([]string, count)
	for i := range stores {
		stores[i] = s.store.address()
	}
	return s.startEntriesAt(stores, o)
}

// startEntriesAt is like startEntries, with an address of the store for each entry.
func (s *site) startEntriesAt(stores []string, o entryOptions) error {
	for i, address := range stores {
		e, err := newEntry(s.folder, fmt.Sprintf("front-%d", i), address, s.places[i%len(s.places)], s.places, o, s.log)
		if err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
	}
	for _, e := range s.entries {
		if err := e.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
