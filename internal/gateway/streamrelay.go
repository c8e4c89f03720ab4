package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fescueslip/fescueslip/internal/exchange"
	"github.com/fescueslip/fescueslip/internal/outbuf"
)

// streamRelay forwards a stream of events to the client and never splits an event.
type streamRelay struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	pending []byte
	// counted is the memory of pending that counts in the budget, in bytes.
	counted int64
	// firstWrite and lastWrite are the times of the first and the last event.
	firstWrite, lastWrite time.Time
	// runStart is the time of the first event of the current run. It differs from
	// firstWrite in a resumed stream.
	runStart time.Time
	events   int
	// framing tells how the end of the response is marked.
	framing exchange.Framing
	// hasEvents is set if the response consists of events. Any other response is
	// passed on as it arrives at its end.
	hasEvents bool
	// lastID is the ID of the last forwarded event.
	lastID string
	// onFirstEvent, if set, is called before the first event is forwarded.
	onFirstEvent func()
	// runBegan is the time of the response's head, and lastRead that of the last bytes.
	runBegan, lastRead time.Time
	// runEvents is the number of events of the current run.
	runEvents int
	// resumed is set if the client has events of an earlier run.
	resumed bool
	// onSound, if set, is called once in a run, when the run has proved the parts of its
	// prompt sound.
	onSound func()
	// progress measures the interval between events while the stream runs.
	progress streamProgress
	// client is the connection to the client, or nil if it is not known. While it is
	// blocked, the stream is read ahead within the limits of memory.
	client *outbuf.Conn
	memory *outbuf.Budget
	// cancelRun ends the exchange with the upstream of the current run. It is nil if the
	// run must not be read ahead.
	cancelRun func()
	// readAhead describes how the stream of the current run was read ahead.
	readAhead outbuf.Result
	// heldBack is for how long upstreams were not read because the client had not taken
	// what they sent before, and mostWaiting the largest number of bytes that waited for
	// the client.
	heldBack    time.Duration
	mostWaiting int
}

func newStreamRelay(w http.ResponseWriter) *streamRelay {
	return &streamRelay{w: w, flush: http.NewResponseController(w)}
}

// newStreamRelay returns a relay that buffers the stream while its client is slow. ctx is
// that of the client's request.
func (g *Gateway) newStreamRelay(ctx context.Context, w http.ResponseWriter) *streamRelay {
	relay := newStreamRelay(w)
	relay.client, relay.memory = outbuf.FromContext(ctx), g.memory
	return relay
}

// firstEventDelay returns the time from began to the first write to the client, or 0
// if nothing was written. It is negative if the first write was made before began,
// from the stream of an earlier attempt.
func (s *streamRelay) firstEventDelay(began time.Time) time.Duration {
	if s.firstWrite.IsZero() {
		return 0
	}
	return s.firstWrite.Sub(began)
}

// updateLastID stores the ID of the last event in events that has one.
func (s *streamRelay) updateLastID(events []byte) {
	if id, ok := lastEventID(events); ok {
		s.lastID = id
	}
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// errNoContinuation is the error of a response that was to resume a stream and cannot.
var errNoContinuation = errors.New("the response does not continue the stream")

// checkContinuation returns an error if the response cannot resume the stream that the
// client has received a part of.
func checkContinuation(resp *exchange.Response) error {
	if resp.Status != http.StatusOK || !isEventStream(resp) {
		return errors.Wrapf(errNoContinuation, "status %d, media type %q", resp.Status, resp.Header.Get("Content-Type"))
	}
	return nil
}

// beginRun prepares the relay for the response of another run. It drops an event of
// which the run before sent only a part.
func (s *streamRelay) beginRun(resp *exchange.Response) {
	s.pending = s.pending[:0]
	s.resumed = s.events > 0
	s.runStart, s.runEvents = time.Time{}, 0
	s.progress.reset()
	s.runBegan, s.lastRead = time.Now(), time.Time{}
	s.readAhead = outbuf.Result{}
	s.framing = resp.Framing
	s.hasEvents = isEventStream(resp)
}

// isEventStream reports whether the response to a call of a streaming route consists of
// events. A success without a media type does, because the route says so.
func isEventStream(resp *exchange.Response) bool {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	mediaType = strings.TrimSpace(mediaType)
	if mediaType == "" {
		return resp.Status == http.StatusOK
	}
	return strings.EqualFold(mediaType, eventStreamType)
}

// runOutput returns the time from the first to the last event of the current run.
func (s *streamRelay) runOutput() time.Duration {
	if s.runStart.IsZero() {
		return 0
	}
	return s.lastWrite.Sub(s.runStart)
}

// silence returns for how long the current run has sent nothing.
func (s *streamRelay) silence(now time.Time) time.Duration {
	return now.Sub(later(s.runBegan, s.lastRead))
}

// provedSound reports whether the current run has gone on after the beginning of its
// output, which a part of its prompt that crashes engines would have prevented.
func (s *streamRelay) provedSound() bool { return s.runEvents >= soundEvents }

// relayBufferSize is the size of the read buffer of a relayed stream, in bytes.
const relayBufferSize = 4 << 10

// maxEventBytes limits the size of one event. An upstream that sends bytes without
// the end of an event would otherwise take memory until the deadline.
const maxEventBytes = 256 << 10

// errStreamTruncated is the error of a stream that its upstream broke off, although
// the connection ended in order.
var errStreamTruncated = errors.New("the stream was broken off")

var errEventTooLong = errors.New("event of the stream exceeds the limit")

// copy relays the stream until it ends. It returns nil if the response was complete.
func (s *streamRelay) copy(body io.Reader) error {
	ahead := outbuf.NewReadAhead(body, s.memory, outbuf.MaxStreamBytes)
	if s.cancelRun != nil {
		s.client.Attach(ahead)
		defer s.endReadAhead(ahead)
	}
	defer s.releasePending()
	var buf [relayBufferSize]byte
	for {
		n, err := ahead.Read(buf[:])
		if n > 0 {
			s.lastRead = time.Now()
		}
		s.pending = append(s.pending, buf[:n]...)
		s.countPending()
		writeErr := s.writeEvents(err == io.EOF && !s.hasEvents)
		if errors.Is(writeErr, errNoContinuation) {
			return writeErr
		}
		if writeErr != nil {
			return errors.Wrap(errClientDisconnected, writeErr.Error())
		}
		if err == io.EOF {
			return s.checkEnd()
		}
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if len(s.pending) > maxEventBytes {
			return errors.Wrapf(errEventTooLong, "%d bytes", len(s.pending))
		}
	}
}

// countPending counts the memory of an event that has not arrived completely. It is not
// limited by the budget, because a part of an event cannot be forwarded.
func (s *streamRelay) countPending() {
	if grown := int64(cap(s.pending)) - s.counted; grown != 0 {
		s.memory.Reserve(outbuf.Streams, grown)
		s.counted += grown
	}
}

// releasePending returns the memory that countPending counted.
func (s *streamRelay) releasePending() {
	s.memory.Release(outbuf.Streams, s.counted)
	s.counted = 0
}

// endReadAhead ends reading the stream ahead and frees its buffer.
func (s *streamRelay) endReadAhead(ahead *outbuf.ReadAhead) {
	s.client.Attach(nil)
	r := ahead.Stop(s.cancelRun)
	if !r.Begun {
		return
	}
	s.readAhead = r
	s.heldBack += r.Paused
	s.mostWaiting = max(s.mostWaiting, r.MostWaiting)
	s.lastRead = r.LastRead
	if !r.Silent {
		s.lastRead = time.Now() // the upstream was not asked for more, so it was not silent
	}
}

// maxUnreadTime is the time without a read after which an upstream may abort its
// response.
const maxUnreadTime = time.Second

// unreadTooLong reports whether the upstream of the current run may have broken off because
// it was not read, which says nothing about its health.
func (s *streamRelay) unreadTooLong() bool { return s.readAhead.LongestPause >= maxUnreadTime }

// checkEnd returns an error if the response has ended too early, although its
// connection ended in order.
func (s *streamRelay) checkEnd() error {
	switch {
	case !s.hasEvents:
		return nil
	case isPartOfEvent(s.pending):
		return errors.Wrapf(errStreamTruncated, "after %d bytes of an event", len(s.pending))
	case s.runStart.IsZero() && (s.resumed || s.framing == exchange.CloseDelimited):
		return errors.Wrap(errStreamTruncated, "before the first event")
	default:
		return nil
	}
}

// writeEvents forwards all complete events that have arrived. If complete is set,
// the response has ended and any remaining bytes are forwarded as well.
func (s *streamRelay) writeEvents(complete bool) error {
	end := len(s.pending)
	if !complete {
		end = endOfLastEvent(s.pending)
	}
	if end == 0 {
		return nil
	}
	if s.resumed && s.runEvents == 0 && !followsEvent(s.pending[:end], s.lastID) {
		return errors.Wrapf(errNoContinuation, "after event %q", s.lastID)
	}
	s.lastWrite = time.Now()
	if s.runStart.IsZero() {
		s.runStart = s.lastWrite
	}
	if s.firstWrite.IsZero() {
		s.firstWrite = s.lastWrite
		if s.onFirstEvent != nil {
			s.onFirstEvent()
		}
	}
	events := countEvents(s.pending[:end])
	s.events += events
	s.runEvents += events
	if s.onSound != nil && s.provedSound() {
		s.onSound()
		s.onSound = nil
	}
	s.updateLastID(s.pending[:end])
	if _, err := s.w.Write(s.pending[:end]); err != nil {
		return err
	}
	s.pending = append(s.pending[:0], s.pending[end:]...)
	err := s.flush.Flush()
	s.progress.add(events, s.lastWrite, time.Since(s.lastWrite))
	return err
}
