package sidecar

import "sync"

// once runs a function one time; later calls wait for its end. Unlike
// sync.Once it waits on a channel, because the function may take seconds and
// testing/synctest cannot advance time while a goroutine waits for a mutex.
type once struct {
	mu   sync.Mutex
	done chan struct{}
}

func (o *once) Do(f func()) {
	o.mu.Lock()
	done, first := o.done, o.done == nil
	if first {
		done = make(chan struct{})
		o.done = done
	}
	o.mu.Unlock()
	if !first {
		<-done
		return
	}
	defer close(done)
	f()
}
