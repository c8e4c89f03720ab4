package lending

import "time"

// PeekLeaving returns what TakeLeaving would decide now, and spends nothing. A resource that
// was not used remains unknown, so that it does not become part of reports.
func (p *Pool) PeekLeaving(id ID, units, reserve float64, now time.Duration) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	c, limited := p.capacityOf(id)
	if !limited {
		return Decision{Granted: true, Share: 1}
	}
	r := p.unusedResource(c)
	if known, ok := p.resources[id]; ok {
		copied := *known
		r = &copied
	}
	p.refill(r)
	return p.decide(r, units, reserve)
}
