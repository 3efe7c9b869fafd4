package entry

import (
	"bytes"
	"encoding/gob"
)

func encodeExports(exports []shardExport) ([]byte, error) {
	var buf bytes.Buffer
	err := gob.NewEncoder(&buf).Encode(exports)
	return buf.Bytes(), err
}

func decodeExports(data []byte) ([]shardExport, error) {
	var out []shardExport
	if len(data) == 0 {
		return nil, nil
	}
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&out)
	return out, err
}
