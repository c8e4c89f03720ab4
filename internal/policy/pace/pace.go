// Package pace decides when a gateway may send a request to an upstream that has
// limited the requests of all gateways together.
//
// The gateways do not ask each other. Each takes an even part of the limit, so the sum
// stays within the limit whichever of them are cut off, frozen or silent, as long as they
// agree roughly on their number. What a gateway does not use is lost.
//
// A request that was not sent may be saved for later only if all gateways together
// then do not exceed the limit much. Where there are many more gateways than the
// limit allows requests in a second, each has a slot of its own instead, and a slot
// that passes unused is lost too.
package pace

import (
	"math"
	"time"
)

const (
	// minPerSecond is the rate at which an upstream is still tried that names a limit
	// of 0 or nearly 0, by all gateways together. Only its answers can end the limit.
	minPerSecond = 0.1
	// savedRequests is how many requests all gateways together may have saved, in
	// addition to those of one second.
	savedRequests = 2
	// slotShare is the part of a limit that slots use. The slots of many gateways fall
	// on the same seconds by chance.
	slotShare = 0.6
	// forever is a time for which a saved request is kept in any case.
	forever = math.MaxInt64
)

// Share is a gateway's part of a limit.
type Share struct {
	// Interval is the shortest time between two requests of the gateway.
	Interval time.Duration
	// Keep is how long a request that may be sent is saved.
	Keep time.Duration
}

// ShareOf returns the part of a limit, in requests a second, of one of the gateways.
func ShareOf(perSecond float64, gateways int) Share {
	rate := max(minPerSecond, perSecond)
	n := float64(max(1, gateways))
	if n <= rate+savedRequests {
		return Share{Interval: seconds(n / rate), Keep: forever}
	}
	rate *= slotShare
	return Share{Interval: seconds(n / rate), Keep: seconds(1 / rate)}
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Pace spreads the requests of one gateway to one upstream over time. The zero value
// has no share. Its methods must not be called concurrently.
type Pace struct {
	share Share
	next  time.Time
}

// Set changes the share. draw is a uniform random number in [0, 1), by which the first
// requests of several gateways fall on different times after since, the time from which the
// limit has been in force.
func (p *Pace) Set(s Share, draw float64, since, now time.Time) {
	if p.share == s {
		return
	}
	first := p.share.Interval == 0
	p.share = s
	latest := now.Add(s.Interval)
	switch {
	case first:
		p.next = since.Add(time.Duration(draw * float64(s.Interval)))
	case p.next.After(latest):
		p.next = latest
	}
}

// Wait returns the time until the next request may be sent; 0 if it may be sent now.
func (p *Pace) Wait(now time.Time) time.Duration {
	p.skipMissed(now)
	return max(0, p.next.Sub(now))
}

// Take uses the next request, and the following ones if one request consists of several
// calls. It must only be called if Wait returns 0.
func (p *Pace) Take(calls int, now time.Time) {
	used := time.Duration(calls) * p.share.Interval
	if p.share.Keep == forever {
		p.next = now.Add(used)
		return
	}
	p.next = p.next.Add(used)
}

// skipMissed moves next past the slots that have ended.
func (p *Pace) skipMissed(now time.Time) {
	if p.share.Keep == forever || p.share.Interval <= 0 {
		return
	}
	if late := now.Sub(p.next) - p.share.Keep; late >= 0 {
		p.next = p.next.Add(p.share.Interval * (late/p.share.Interval + 1))
	}
}
