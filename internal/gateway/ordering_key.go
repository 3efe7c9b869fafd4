package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
)

const maxOrderingValueBytes = 256

// orderingKey returns the value of the template's ordering key with the given name.
// It is taken from the request header of that name or else from the top-level field
// of a JSON body.
func orderingKey(name string, h http.Header, body []byte) (string, *Problem) {
	if name == "" {
		return "", nil
	}
	switch values := h.Values(name); {
	case len(values) > 1:
		return "", badField(name, "the header with the ordering key must be given once")
	case len(values) == 1:
		return checkOrderingValue(name, values[0])
	}
	if !isJSON(h.Get("Content-Type")) {
		return "", badField(name, "the template requires the ordering key, as a header or as a field of a JSON body")
	}
	value, err := topLevelField(body, name)
	if err != nil {
		return "", badField(name, "ordering key: "+err.Error())
	}
	return checkOrderingValue(name, value)
}

func checkOrderingValue(name, value string) (string, *Problem) {
	if value == "" || len(value) > maxOrderingValueBytes {
		return "", badField(name, "the ordering key must have 1 to 256 bytes")
	}
	return value, nil
}

func isJSON(contentType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && (media == mediaJSON || strings.HasSuffix(media, "+json"))
}

var (
	errNotObject  = errors.New("the body is not a JSON object")
	errMissing    = errors.New("the field is missing")
	errRepeated   = errors.New("the field is given twice")
	errNotScalar  = errors.New("the field must be a string or a number")
	errAfterValue = errors.New("there is text after the JSON object")
)

// topLevelField returns a string or number field of a JSON object. A duplicate field
// is an error, because the endpoint might read the other value.
func topLevelField(body []byte, name string) (string, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return "", errNotObject
	}
	value, found := "", false
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return "", errNotObject
		}
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return "", errNotObject
		}
		if key != name {
			continue
		}
		if found {
			return "", errRepeated
		}
		if value, err = scalar(raw); err != nil {
			return "", err
		}
		found = true
	}
	if _, err := dec.Token(); err != nil {
		return "", errNotObject
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return "", errAfterValue
	}
	if !found {
		return "", errMissing
	}
	return value, nil
}

func scalar(raw json.RawMessage) (string, error) {
	var s string
	if json.Unmarshal(raw, &s) == nil && raw[0] == '"' {
		return s, nil
	}
	var n json.Number
	if raw[0] != '"' && json.Unmarshal(raw, &n) == nil && n != "" {
		return n.String(), nil
	}
	return "", errNotScalar
}
