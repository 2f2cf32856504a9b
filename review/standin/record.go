package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run, a line each, with the time in
// milliseconds since the start. Its methods may be called from any goroutine.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	// broken counts the lines of breaches.
	broken int
}

func newRecord(path string) (*record, func(), error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	r := &record{start: time.Now(), file: file}
	return r, func() { _ = file.Close() }, nil // each line was written when it was added
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7d "+format+"\n", append([]any{time.Since(r.start).Milliseconds()}, args...)...)
}

// breach writes a line about a broken rule, also to standard output.
func (r *record) breach(format string, args ...any) {
	r.add("BROKEN "+format, args...)
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (r *record) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
