package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// A reader of the log that stalls costs lines, and no waiting; their number is logged.
func Example_stalledLog() {
	r, w := io.Pipe()
	l := newAsyncWriter(w)
	l.Write([]byte("first\n"))
	for len(l.queue) > 0 { // the goroutine has it and waits for the reader
		time.Sleep(time.Millisecond)
	}
	for n := range cap(l.queue) + 3 {
		fmt.Fprintf(l, "line %d\n", n)
	}
	text := make([]byte, 100)
	n, _ := r.Read(text)
	fmt.Print(string(text[:n]))
	for len(l.queue) == cap(l.queue) {
		time.Sleep(time.Millisecond)
	}
	l.Write([]byte("last\n"))
	got := make(chan string)
	go func() {
		b, _ := io.ReadAll(r)
		got <- string(b)
	}()
	l.close(time.Second)
	w.Close()
	rest := <-got
	fmt.Println(strings.Count(rest, "line "))
	fmt.Print(rest[strings.Index(rest, "3 lines"):])
	// Output:
	// first
	// 256
	// 3 lines were dropped
	// last
}

// Other goroutines may log while the program ends.
func TestLogAfterCloseDoesNotBlock(t *testing.T) {
	l := newAsyncWriter(io.Discard)
	l.close(time.Second)
	if _, err := l.Write([]byte("the administrators' address is taken\n")); err != nil {
		t.Error(err)
	}
	l.close(time.Second)
}
