package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// If the reader of the log stalls, lines are dropped without blocking the writer, and their number
// is logged.
func Example_stalledLog() {
	r, w := io.Pipe()
	writer := newAsyncWriter(w)
	writer.Write([]byte("first\n"))
	for len(writer.queue) > 0 { // the goroutine has taken the line and waits for the reader
		time.Sleep(time.Millisecond)
	}
	for n := range cap(writer.queue) + 3 {
		fmt.Fprintf(writer, "line %d\n", n)
	}
	text := make([]byte, 100)
	n, _ := r.Read(text)
	fmt.Print(string(text[:n]))
	for len(writer.queue) == cap(writer.queue) {
		time.Sleep(time.Millisecond)
	}
	writer.Write([]byte("last\n"))
	got := make(chan string)
	go func() {
		b, _ := io.ReadAll(r)
		got <- string(b)
	}()
	writer.close(time.Second)
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

// Other goroutines may still log while the process exits, after the writer was closed.
func TestLogAfterCloseDoesNotBlock(t *testing.T) {
	writer := newAsyncWriter(io.Discard)
	writer.close(time.Second)
	if _, err := writer.Write([]byte("the administrators' address is taken\n")); err != nil {
		t.Error(err)
	}
	writer.close(time.Second)
}
