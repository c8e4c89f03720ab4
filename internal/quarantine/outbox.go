package quarantine

import "time"

const (
	// noticeRepeats is how often each notice is sent, because datagrams may be lost.
	noticeRepeats = 4
	// noticeInterval is the minimum time between two transmissions of a notice.
	noticeInterval = 250 * time.Millisecond
	// maxNoticesPerMessage limits the notices in one message.
	maxNoticesPerMessage = 64
	// maxQueuedNotices limits the notices that wait. Beyond it the oldest are dropped.
	maxQueuedNotices = 4096
)

// outbox holds the notices that still have to be sent. The zero value is empty.
type outbox struct {
	notices []*outgoingNotice
}

// outgoingNotice is a notice with the state of its transmission.
type outgoingNotice struct {
	notice    Notice
	sendCount int
	lastSent  time.Time
}

func (o *outbox) add(n Notice) {
	if len(o.notices) >= maxQueuedNotices {
		o.notices = o.notices[1:]
	}
	o.notices = append(o.notices, &outgoingNotice{notice: n})
}

// due returns the notices to send now.
func (o *outbox) due(now time.Time) []Notice {
	var out []Notice
	kept := o.notices[:0]
	for _, t := range o.notices {
		if len(out) < maxNoticesPerMessage && (t.sendCount == 0 || now.Sub(t.lastSent) >= noticeInterval) {
			out = append(out, t.notice)
			t.sendCount, t.lastSent = t.sendCount+1, now
		}
		if t.sendCount < noticeRepeats {
			kept = append(kept, t)
		}
	}
	clear(o.notices[len(kept):])
	o.notices = kept
	return out
}
