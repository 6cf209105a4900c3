// Package cfvopenai has the messages of the OpenAI-style protocol that callers and model
// engines speak, with the usual engine extensions for cache separation and priority.
package cfvopenai

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
)

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a chat or text completion request as far as routing needs it.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages,omitempty"`
	Prompt    string    `json:"prompt,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	CacheSalt string    `json:"cache_salt,omitempty"`
	Priority  int       `json:"priority,omitempty"`
	Adapter   string    `json:"adapter,omitempty"`

	Transfer *TransferParams `json:"kv_transfer_params,omitempty"`

	raw map[string]json.RawMessage // every field as it came
}

// DecodeRequest reads a request and checks the fields that routing needs.
func DecodeRequest(data []byte) (r Request, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("request body: %w", err)
		}
	}()
	if err = json.Unmarshal(data, &r); err != nil {
		return r, err
	}
	if err = json.Unmarshal(data, &r.raw); err != nil {
		return r, err
	}
	if r.Model == "" {
		return r, fmt.Errorf("model: missing")
	}
	if len(r.Messages) == 0 && r.Prompt == "" {
		return r, fmt.Errorf("messages or prompt: missing")
	}
	if r.MaxTokens < 0 {
		return r, fmt.Errorf("max_tokens: want 0 or more, got %d", r.MaxTokens)
	}
	return r, nil
}

// Routing is what an entry sets in a request before an engine gets it.
type Routing struct {
	Model     string
	CacheSalt string
	Priority  int
	Transfer  *TransferParams
}

// routingJSON names the fields that an entry sets, whatever the caller sent in them.
type routingJSON struct {
	Model     string          `json:"model"`
	CacheSalt string          `json:"cache_salt"`
	Priority  int             `json:"priority"`
	Transfer  *TransferParams `json:"kv_transfer_params"`
}

// Forward returns the body for an engine: the caller's fields with those of the routing
// set. A caller never chooses cache salts, priorities or block transfers.
func (r Request) ForwardBody(to Routing) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("forward request: %w", err)
		}
	}()
	set, err := json.Marshal(routingJSON(to))
	if err != nil {
		return nil, err
	}
	out := maps.Clone(r.raw)
	if err = json.Unmarshal(set, &out); err != nil {
		return nil, err
	}
	return json.Marshal(out)
}

// part is one part of a message's content.
type part struct {
	Text string `json:"text"`
}

// UnmarshalJSON reads a message whose content is a text or a list of parts.
func (m *Message) UnmarshalJSON(data []byte) error {
	var j struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(data, &j); err != nil {
		return err
	}
	m.Role = j.Role
	if len(j.Content) == 0 || json.Unmarshal(j.Content, &m.Content) == nil {
		return nil
	}
	var parts []part
	if err := json.Unmarshal(j.Content, &parts); err != nil {
		return fmt.Errorf("content: want a text or a list of parts: %w", err)
	}
	for _, p := range parts {
		m.Content += p.Text
	}
	return nil
}

// Text returns the whole prompt as one text.
func (r Request) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails counts the prompt tokens that were not computed.
type UsageDetails struct {
	CachedTokens   int `json:"cached_tokens"` // those imported included
	ImportedTokens int `json:"imported_tokens,omitempty"`
}

// Choice is one choice of an answer or of a chunk of a stream.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Answer is a whole answer or one chunk of a stream.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Offset  *int     `json:"offset,omitempty"` // index of the chunk's token in the stream
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// EndMark is the data of the last event of a stream.
const StreamEnd = "[DONE]"

// VersionOrder orders an endpoint to load a version; its fencing number only grows.
type VersionOrder struct {
	Version      string `json:"version"`
	FencingToken int64  `json:"fence"`
}

// versionMark stands between a model's name and the version of its weights.
const versionMark = "@"

// WithVersion returns the name under which an engine serves one version of a model.
func WithVersion(model, version string) string {
	if version == "" {
		return model
	}
	return model + versionMark + version
}

// SplitVersion returns the model and the version that a name asks for, empty for any.
func SplitVersion(name string) (model, version string) {
	model, version, _ = strings.Cut(name, versionMark)
	return model, version
}

// Headers that entries and engines exchange.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderBootID     = "X-Boot-Id"
	HeaderVersion    = "X-Model-Version"
	HeaderLeaving    = "X-Leaving"
	HeaderResumeFrom = "X-Resume-From"
)

// LoadReport is an engine's or a plain service's report of its load.
type LoadReport struct {
	BootID  string `json:"bootId"`
	Version string `json:"version"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Leaving bool   `json:"leaving"`
	Loading bool   `json:"loading"`
}

// nameJSON holds the fields by which an answer names its request and its model.
type nameJSON struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

// Rename returns a whole answer under the caller's id and model. A body that is not an
// answer is returned as it is.
func WithIDAndModel(body []byte, id, model string) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil || fields["choices"] == nil {
		return body
	}
	set, err := json.Marshal(nameJSON{id, model})
	if err != nil || json.Unmarshal(set, &fields) != nil {
		return body
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}
