package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// idlers hold connections on which they have asked once and rest; who is shut out comes again. It counts those that are in.
func (r *rig) idlers(count int, stop chan struct{}) *atomic.Int64 {
	var in atomic.Int64
	for range count {
		r.load.Add(1)
		go func() {
			defer r.load.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				c, err := net.DialTimeout("tcp", r.listen, time.Second)
				if err != nil {
					continue
				}
				io.WriteString(c, "GET /-/ready HTTP/1.1\r\n\r\n")
				b := bufio.NewReader(c)
				if c.SetReadDeadline(time.Now().Add(time.Second)); r.rests(c, b, stop, &in) != nil {
					time.Sleep(100 * time.Millisecond)
				}
				c.Close()
			}
		}()
	}
	return &in
}

func (r *rig) rests(c net.Conn, b *bufio.Reader, stop chan struct{}, in *atomic.Int64) error {
	if _, _, err := message(b); err != nil {
		return err
	}
	in.Add(1)
	defer in.Add(-1)
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := b.ReadByte(); err != nil && !isTimeout(err) {
			return err
		}
	}
}

func isTimeout(err error) bool {
	e, is := err.(net.Error)
	return is && e.Timeout()
}

// While discovery is down and no list is known, idle clients hold all descriptors that clients are given, and more wait outside. At its
// return the watch has its descriptor within its budget, a new client gets in, and its request gets a connection to a worker.
func TestIdleClientsLeaveDescriptorsForWatch(t *testing.T) {
	r := newRig(t, 2, 20*time.Millisecond)
	at := freeAddr(t)
	list := `{"rev":1,"all":true,"targets":[`
	for n, w := range r.workers {
		if n > 0 {
			list += ","
		}
		list += fmt.Sprintf(`{"uid":%q,"endpoint":%q,"state":"Ready"}`, w.uid, w.addr)
	}
	list += "]}\n"
	const sockets = 64
	delete(r.config, "known")
	r.config["discovery"] = at
	r.config["limits"] = map[string]any{"memory_mb": 64, "sockets": sockets}
	r.writeConfig()
	p := r.start()
	r.waitUntilReady(p)
	stop := make(chan struct{})
	in := r.idlers(sockets, stop)
	most, held := 0, int64(0)
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
		most, held = max(most, p.descriptors()), max(held, in.Load())
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	returned := time.Now()
	asked := make(chan time.Duration, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			asked <- time.Since(returned)
			go func() {
				message(bufio.NewReader(c))
				io.WriteString(c, listHead+chunk(list))
			}()
		}
	}()
	select {
	case took := <-asked:
		t.Logf("%d idle clients held %d connections, descriptors at most %d of %d; the watch came %v after the return", sockets, held, most,
			sockets, took.Round(time.Millisecond))
	case <-time.After(afterSix):
		t.Fatal("the watch has not come back in its time")
	}
	time.Sleep(200 * time.Millisecond)
	for n := range 20 {
		id := fmt.Sprint("new-", n)
		began := time.Now()
		first := exchange(r.listen, post("/render/k", "X-Call-Id: "+id+"\r\nX-Call-Class: render\r\nX-Budget: 5\r\nConnection: close\r\n", id))
		if first != "HTTP/1.1 200 OK made "+id {
			t.Errorf("a new client hears %q after %v", first, time.Since(began))
		}
		most = max(most, p.descriptors())
	}
	close(stop)
	r.load.Wait()
	if held < 20 {
		t.Error("too few idle clients were in to fill their part:", held)
	}
	if most > sockets {
		t.Error("descriptors:", most)
	}
}
