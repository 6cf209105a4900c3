package cfvreport

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"coltsfootvalve/common/cfvlog"

	"gotest.tools/v3/assert"
)

// logged is a request as its entry logs it. Times are in milliseconds.
type logged struct {
	id                   string
	tokens               int
	fetch                string
	placed, began, ended int
	pause                int
	twice                bool
}

func (r logged) lines() string {
	line := func(at int, message, values string) string {
		when := time.Date(2026, 1, 2, 3, 4, 5, at*int(time.Millisecond), time.UTC).Format(time.RFC3339Nano)
		return fmt.Sprintf(`{"time":%q,"node":"a","message":"entry: %s","requestId":%q,"route":"r"%s}`+"\n", when, message, r.id, values)
	}
	placed := fmt.Sprintf(`,"endpoint":"i-1","tokens":%d,"fetch":%q`, r.tokens, r.fetch)
	out := line(r.placed, "a request was placed", placed)
	if r.twice {
		out += line(r.placed, "a request was placed", placed)
	}
	if r.began > 0 {
		out += line(r.began, "a stream began", fmt.Sprintf(`,"millis":%d`, r.began-r.placed))
	}
	if r.ended > 0 {
		out += line(r.ended, "a request was answered", fmt.Sprintf(`,"longestPauseMillis":%d`, r.pause))
	}
	return out
}

func TestCountCauses(t *testing.T) {
	const short, long = 400, 17000
	fullPrefill := logged{id: "whole", tokens: long, placed: 10, began: 300, ended: 400}
	fetched := logged{id: "fetched", tokens: long, fetch: "store,", placed: 10, began: 300, ended: 400}
	tests := map[string]struct {
		stream logged
		beside []logged
		want   Cause
	}{
		"in time":                              {stream: logged{tokens: short, began: 50, ended: 90}, want: InTime},
		"no event came":                        {stream: logged{tokens: short}, want: NoEvent},
		"two endpoints":                        {stream: logged{tokens: short, began: 350, ended: 400, twice: true}, want: LateSeveralEndpoints},
		"behind a long prompt":                 {stream: logged{tokens: short, began: 350, ended: 400}, beside: []logged{fullPrefill}, want: LateBesideFullPrefill},
		"behind one that was fetched":          {stream: logged{tokens: short, began: 350, ended: 400}, beside: []logged{fetched}, want: LateBesideLongPrompt},
		"after the prefill of the long prompt": {stream: logged{tokens: short, placed: 310, began: 700, ended: 710}, beside: []logged{fullPrefill}, want: LateNoLongPrompt},
		"a long prompt's own fetch":            {stream: logged{tokens: long, fetch: "store,", began: 350, ended: 400}, want: LateOwnFetch},
		"a long prompt's own full prefill":     {stream: logged{tokens: long, began: 350, ended: 400}, want: LateOwnPrefill},
		"paused by a long prompt":              {stream: logged{tokens: short, began: 20, ended: 400, pause: 250}, beside: []logged{fullPrefill}, want: PausedBesideFullPrefill},
		"paused without a long prompt":         {stream: logged{tokens: short, began: 20, ended: 400, pause: 250}, want: PausedNoLongPrompt},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.stream.id = "this"
			text := tt.stream.lines()
			for _, o := range tt.beside {
				text += o.lines()
			}
			lines, unread, err := cfvlog.Read(strings.NewReader(text))
			assert.NilError(t, err)
			assert.Equal(t, unread, 0)
			streams := ParseStreams(lines)
			assert.Equal(t, streams[0].RequestID, "this")
			got := CountCauses(streams[:1], Limits{TimeToFirstEvent: 200 * time.Millisecond, Pause: 200 * time.Millisecond, LongPromptTokens: 2048})
			if len(tt.beside) > 0 {
				got = nil
				for _, r := range CountCauses(streams, Limits{TimeToFirstEvent: 200 * time.Millisecond, Pause: 200 * time.Millisecond, LongPromptTokens: 2048}) {
					if r.Cause == tt.want {
						got = append(got, r)
					}
				}
			}
			assert.Equal(t, len(got), 1)
			assert.Equal(t, got[0].Cause, tt.want)
			assert.Equal(t, got[0].Count, 1)
		})
	}
}

func ExampleCountCauses() {
	lines, _, err := cfvlog.Read(strings.NewReader(logged{id: "a", tokens: 400, began: 50, ended: 90}.lines() + logged{id: "b", tokens: 400, began: 500, ended: 600}.lines()))
	if err != nil {
		panic(err)
	}
	for _, r := range CountCauses(ParseStreams(lines), Limits{TimeToFirstEvent: 200 * time.Millisecond, Pause: 200 * time.Millisecond, LongPromptTokens: 2048}) {
		fmt.Printf("%s %d %.2f %s\n", r.Route, r.Count, r.Share, r.Cause)
	}
	// Output:
	// r 1 0.50 began late: no long prompt was there
	// r 1 0.50 in time
}
