package entry

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/fescueslip/fescueslip/internal/wire"
)

// Guards against output that belongs to an old attempt, is delivered twice, or
// has gaps.
func TestRequestAccept(t *testing.T) {
	cases := []struct {
		name    string
		frames  []*wire.Tokens
		want    string
		wantErr bool
	}{
		{name: "in order", frames: []*wire.Tokens{
			{Attempt: 1, Index: 0, Text: []string{"a", "b"}}, {Attempt: 1, Index: 2, Text: []string{"c"}}}, want: "abc"},
		{name: "repeated frame", frames: []*wire.Tokens{
			{Attempt: 1, Index: 0, Text: []string{"a", "b"}}, {Attempt: 1, Index: 0, Text: []string{"a", "b"}}}, want: "ab"},
		{name: "overlap", frames: []*wire.Tokens{
			{Attempt: 1, Index: 0, Text: []string{"a", "b"}}, {Attempt: 1, Index: 1, Text: []string{"b", "c"}}}, want: "abc"},
		{name: "other attempt", frames: []*wire.Tokens{
			{Attempt: 1, Index: 0, Text: []string{"a"}}, {Attempt: 2, Index: 1, Text: []string{"x"}}}, want: "a"},
		{name: "gap", frames: []*wire.Tokens{{Attempt: 1, Index: 1, Text: []string{"b"}}}, wantErr: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &Request{}
			r.NextAttempt()
			var got strings.Builder
			var err error
			for _, f := range c.frames {
				var fresh []string
				if fresh, err = r.Accept(f); err != nil {
					break
				}
				got.WriteString(strings.Join(fresh, ""))
			}
			if (err != nil) != c.wantErr || (!c.wantErr && got.String() != c.want) {
				t.Fatalf("got %q, %v; want %q, error %v", got.String(), err, c.want, c.wantErr)
			}
		})
	}
}

// Guards against a caller that receives repeated or missing tokens after any
// sequence of attempts, repeated frames and late frames.
func TestRequestDeliversEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Request{}
		r.NextAttempt()
		var got []string
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "retry") == 0 {
				r.NextAttempt()
			}
			index := rapid.Uint64Range(0, r.Delivered()+2).Draw(t, "index")
			frame := &wire.Tokens{Attempt: rapid.Uint32Range(1, r.Attempt()).Draw(t, "attempt"), Index: index}
			for i := range rapid.IntRange(0, 4).Draw(t, "count") {
				frame.Text = append(frame.Text, tokenAt(index+uint64(i)))
			}
			fresh, err := r.Accept(frame)
			if err == nil {
				got = append(got, fresh...)
			}
		}
		for i, text := range got {
			if text != tokenAt(uint64(i)) {
				t.Fatalf("token %d is %q", i, text)
			}
		}
	})
}

func tokenAt(i uint64) string { return string(rune('a' + i%26)) }
