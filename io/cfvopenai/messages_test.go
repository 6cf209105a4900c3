package cfvopenai

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestForwardBodyKeepsCallerFieldsAndSetsRouting(t *testing.T) {
	r, err := DecodeRequest([]byte(`{"model":"a","prompt":"p","temperature":0.5,"cache_salt":"stolen","priority":-1,"kv_transfer_params":{"import":[{"key":"k"}]}}`))
	assert.NilError(t, err)
	data, err := r.ForwardBody(Routing{Model: "a@v1", CacheSalt: "salt", Priority: 3})
	assert.NilError(t, err)
	var got map[string]any
	assert.NilError(t, json.Unmarshal(data, &got))
	assert.DeepEqual(t, got, map[string]any{
		"model": "a@v1", "prompt": "p", "temperature": 0.5, "cache_salt": "salt", "priority": 3.0, "kv_transfer_params": nil,
	})
}

func TestDecodeErrorNamesField(t *testing.T) {
	tests := map[string]struct{ body, want string }{
		"not JSON":                 {`{`, "unexpected end"},
		"no model":                 {`{"prompt":"x"}`, "model: missing"},
		"no prompt":                {`{"model":"a"}`, "messages or prompt: missing"},
		"negative":                 {`{"model":"a","prompt":"x","max_tokens":-1}`, "max_tokens: want 0 or more"},
		"content of wrong type":    {`{"model":"a","messages":[{"role":"user","content":7}]}`, "content: want a text or a list of parts"},
		"max_tokens of wrong type": {`{"model":"a","prompt":"x","max_tokens":"many"}`, "max_tokens"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeRequest([]byte(tt.body))
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"model":"a","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add([]byte(`{"model":"a","prompt":"x","max_tokens":3,"stream":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRequest(data)
		if err != nil {
			return
		}
		out, err := r.ForwardBody(Routing{Model: "m", CacheSalt: "s"})
		if err != nil {
			t.Fatalf("a valid request can't be forwarded: %v", err)
		}
		var set struct {
			Model string `json:"model"`
			Salt  string `json:"cache_salt"`
		}
		if err := json.Unmarshal(out, &set); err != nil || set.Model != "m" || set.Salt != "s" {
			t.Fatalf("the caller chose the model or the salt: %s", out)
		}
	})
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {}\n\ndata: [DONE]\n\n"))
	f.Add([]byte(": comment\r\ndata:a\r\ndata:b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		e := NewEventReader(bytes.NewReader(data))
		for range len(data) + 1 {
			if _, err := e.Next(); err != nil {
				return
			}
		}
		t.Fatal("more events than bytes")
	})
}

func TestEventReaderJoinsLinesAndDropsIncompleteEvent(t *testing.T) {
	e := NewEventReader(strings.NewReader("event: x\ndata: a\ndata: b\n\ndata: cut"))
	data, err := e.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(data), "a\nb")
	_, err = e.Next()
	assert.Assert(t, errors.Is(err, io.EOF), "an incomplete event was returned")
}

func ExampleWithIDAndModel() {
	fmt.Println(string(WithIDAndModel([]byte(`{"id":"x","model":"a@v1","choices":[]}`), "r-1", "a")))
	fmt.Println(string(WithIDAndModel([]byte(`not a response`), "r-1", "a")))
	// Output:
	// {"choices":[],"id":"r-1","model":"a"}
	// not a response
}

func TestEventsAreReported(t *testing.T) {
	tests := map[string]struct {
		input string
		want  int
	}{
		"events":                       {"data: a\n\ndata: b\r\n\r\n", 2},
		"a comment":                    {": wait\n\ndata: a\n\n", 2},
		"an event that is not over":    {"data: a\n\ndata: b\n", 1},
		"line breaks between events":   {"\n\n\ndata: a\n\n\n\n", 1},
		"an event of several lines":    {"id: 1\ndata: a\ndata: b\n\n", 1},
		"a comment within an event":    {"data: a\n: wait\ndata: b\n\n", 1},
		"bytes that complete no event": {":::::", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := 0
			events := NewWatchedEventReader(strings.NewReader(tt.input), func() { got++ })
			for {
				if _, err := events.Next(); err != nil {
					assert.ErrorIs(t, err, io.EOF)
					break
				}
			}
			assert.Equal(t, got, tt.want)
		})
	}
}
