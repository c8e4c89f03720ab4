package mirror

import "time"

// confirm marks an entry as confirmed and reports whether it was not.
func (m *Mirror) confirm(e Entry) bool {
	if !e.Unconfirmed {
		return false
	}
	e.Unconfirmed = false
	m.entries[e.Key] = e
	delete(m.unconfirmedUntil, e.Key)
	return true
}

// remove drops an entry, or marks it as unconfirmed if an outage may be the reason
// for its removal.
func (m *Mirror) remove(k string, now time.Time) {
	e := m.entries[k]
	since := m.outageEnd()
	if m.options.Ephemeral == nil || !m.options.Ephemeral(k) || now.Sub(since) >= reconnectWindow {
		m.drop(k)
		return
	}
	e.Unconfirmed = true
	m.entries[k] = e
	m.unconfirmedUntil[k] = since.Add(unconfirmedGrace)
}

// outageEnd returns when the last outage of the store ended, or when the store was
// restored; zero if there was neither. A time in which only this process was without the
// store is no outage: the owners of the entries could write them.
func (m *Mirror) outageEnd() time.Time {
	gap := m.options.Contact.LastGap()
	if !gap.End.After(m.restoredAt) || m.storePresentSince(gap.Start) {
		return m.restoredAt
	}
	return gap.End
}

func (m *Mirror) storePresentSince(t time.Time) bool {
	return m.options.PresentSince != nil && m.options.PresentSince(t)
}

func (m *Mirror) drop(k string) {
	m.rememberGone(m.entries[k])
	delete(m.entries, k)
	delete(m.unconfirmedUntil, k)
	delete(m.reported, k)
}

// dropExpired drops the unconfirmed entries whose grace period has ended.
func (m *Mirror) dropExpired(now time.Time) {
	// During an outage no owner can write its entry again.
	if m.disconnected {
		return
	}
	changed := false
	outageEnd := m.outageEnd()
	for k, end := range m.unconfirmedUntil {
		if now.After(end) || end.After(outageEnd.Add(unconfirmedGrace)) {
			m.drop(k)
			changed = true
		}
	}
	if changed {
		m.publish(changed)
	}
}
