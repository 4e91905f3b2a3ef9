// Command standin2 plays the cases of the review that are scripts. It starts entries as separate
// processes, with stand-ins of the store, the upstreams and the clients in this process.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	held    = 0
	broken  = 1
	couldnt = 2
)

// play is a case: a deployment, and what happens to it.
type play struct {
	trouble bool
	folder  string
	record  *record
	store   *store
	entries []*entry
}

// cases are the plays by name. They return whether the rule was broken.
var cases = map[string]func(*play) (bool, error){
	"deadly":  playDeadly,
	"keys":    playKeys,
	"page":    playPage,
	"encoded": playEncoded,
	"failing": playFailing,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		return couldnt
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	defer os.RemoveAll(temporary)
	p := &play{trouble: os.Getenv("TROUBLE") != "0", folder: temporary, record: newRecord()}
	defer func() {
		for _, e := range p.entries {
			e.end()
		}
	}()
	if p.store, err = startStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	p.record.add("case %s, trouble %t", os.Args[1], p.trouble)
	isBroken, err := cases[os.Args[1]](p)
	code := held
	switch {
	case err != nil:
		p.record.add("the case couldn't run: %v", err)
		code = couldnt
	case isBroken:
		p.record.add("the rule was broken")
		code = broken
	default:
		p.record.add("the rule held")
	}
	if err := p.record.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldnt
	}
	return code
}

// startEntries starts an entry in each of the zones, and waits until all are ready and the
// stable window has passed.
func (p *play) startEntries(extraBounds string, zones ...string) error {
	for i, zone := range zones {
		e, err := newEntry(fmt.Sprintf("front-%s-%d", zone, i+1), zone, p.store.address, p.folder)
		if err != nil {
			return err
		}
		e.extraBounds = extraBounds
		if err := e.start(); err != nil {
			return err
		}
		p.entries = append(p.entries, e)
	}
	for _, e := range p.entries {
		if !e.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s isn't ready", e.name)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}
