// Package cfvopenai defines the messages of the OpenAI-style API of callers and model engines,
// with the common engine extensions for cache salts, priorities and KV cache transfers.
package cfvopenai

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a chat or text completion request with the fields that routing needs.
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

	raw map[string]json.RawMessage // all fields as received
}

// DecodeRequest decodes a request and validates the fields that routing needs.
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

// Routing contains the fields that an entry sets in a request before it forwards it to an
// engine.
type Routing struct {
	Model     string
	CacheSalt string
	Priority  int
	Transfer  *TransferParams
}

// routingJSON has the JSON names of the fields of Routing. They replace the caller's values.
type routingJSON struct {
	Model     string          `json:"model"`
	CacheSalt string          `json:"cache_salt"`
	Priority  int             `json:"priority"`
	Transfer  *TransferParams `json:"kv_transfer_params"`
}

// ForwardBody returns the request body for an engine: the caller's fields, with the fields of
// the routing replaced. Callers must not choose cache salts, priorities or block transfers.
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

// contentPart is one part of a message's content.
type contentPart struct {
	Text string `json:"text"`
}

// UnmarshalJSON decodes a message whose content is a string or a list of parts.
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
	var parts []contentPart
	if err := json.Unmarshal(j.Content, &parts); err != nil {
		return fmt.Errorf("content: want a text or a list of parts: %w", err)
	}
	for _, p := range parts {
		m.Content += p.Text
	}
	return nil
}

// PromptText returns the prompt as one string: all messages of a chat with their roles, or the
// prompt of a text completion.
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

// Usage contains the token counts of a request.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails contains the numbers of prompt tokens that were not computed.
type UsageDetails struct {
	CachedTokens   int `json:"cached_tokens"` // includes imported tokens
	ImportedTokens int `json:"imported_tokens,omitempty"`
}

// Choice is one choice of a response or of a chunk of a stream.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Response is a complete response or one chunk of a stream.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Offset  *int     `json:"offset,omitempty"` // index of the chunk's token in the stream
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// StreamEnd is the data of the last event of a complete stream.
const StreamEnd = "[DONE]"

// VersionOrder orders an endpoint to load a version. The fencing token of later orders is never
// lower, so that endpoints can reject outdated orders.
type VersionOrder struct {
	Version      string `json:"version"`
	FencingToken int64  `json:"fence"`
}

// versionSeparator separates the name of a model and the version of its weights.
const versionSeparator = "@"

// WithVersion returns the name under which engines serve a version of a model.
func WithVersion(model, version string) string {
	if version == "" {
		return model
	}
	return model + versionSeparator + version
}

// SplitVersion splits a name into the model and the version. The version is empty if the name
// has none, which means any version.
func SplitVersion(name string) (model, version string) {
	model, version, _ = strings.Cut(name, versionSeparator)
	return model, version
}

// Headers of requests and responses between entries and engines.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderBootID     = "X-Boot-Id"
	HeaderVersion    = "X-Model-Version"
	HeaderLeaving    = "X-Leaving"
	HeaderResumeFrom = "X-Resume-From"
)

// LoadReport is the load that an engine or a plain service reports.
type LoadReport struct {
	BootID  string `json:"bootId"`
	Version string `json:"version"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Leaving bool   `json:"leaving"`
	Loading bool   `json:"loading"`
}

// idAndModelJSON has the fields that WithIDAndModel replaces.
type idAndModelJSON struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

// WithIDAndModel returns the body of a complete response with its ID and model replaced. A body
// that is not a completion response is returned unchanged.
func WithIDAndModel(body []byte, id, model string) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil || fields["choices"] == nil {
		return body
	}
	set, err := json.Marshal(idAndModelJSON{id, model})
	if err != nil || json.Unmarshal(set, &fields) != nil {
		return body
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}
