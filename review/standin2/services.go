package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// services tells which service ran which request.
type services struct {
	mu sync.Mutex
	of map[string]string
}

func (s *services) get(request string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.of[request]
}

// startServices starts three upstreams of each of two services, and returns their zones.
func (p *play) startServices(ran *services) ([]string, error) {
	answer := func(u *upstream, c net.Conn, read *bufio.Reader, r *http.Request) bool {
		ran.mu.Lock()
		ran.of[r.Header.Get("X-Request-Id")] = u.service
		ran.mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		p.record.add("%s %s reaches %s of %s", r.Method, r.RequestURI, u.id, u.service)
		return plainAnswer(u, c, read, r)
	}
	zones := []string{"telavi-a", "kutaisi-a", "tbilisi-a"}
	for i, service := range []string{"registry", "registry", "registry", "evidence-vault", "evidence-vault", "evidence-vault"} {
		u := &upstream{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: service, zone: zones[i%3], store: p.store, record: p.record, answer: answer}
		if err := u.start(); err != nil {
			return nil, err
		}
	}
	return zones, nil
}
