// Package manifest describes one version of a model's weights: its size, its
// chunks and their SHA-256.
//
// A manifest is trusted when its own SHA-256 is the one in the configuration;
// chunks are trusted when they match the manifest. The package reads and checks;
// it fetches nothing.
package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"fulmardeal"
	"fulmardeal/internal/fleet/label"
)

// Bounds of manifests.
const (
	MostChunkSize = 16 << 20 // bytes
	mostChunks    = 1 << 20
	mostSize      = 1 << 40 // bytes
)

// Document is the encoded form.
type Document struct {
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Size    int64    `json:"size"`   // bytes
	Chunk   int      `json:"chunk"`  // bytes of every chunk but the last
	Digest  string   `json:"digest"` // of all bytes
	Chunks  []string `json:"chunks"` // SHA-256 of each chunk, hex
}

// Error says what is wrong with a manifest or a chunk.
type Error struct {
	Version fulmardeal.Version
	Reason  string
}

func (e *Error) Error() string { return fmt.Sprintf("manifest of %v: %s", e.Version, e.Reason) }

// Manifest is a checked manifest. It does not change.
type Manifest struct {
	doc Document
}

// Parse reads the manifest of v and checks it against the digest that the
// configuration names.
func Parse(v fulmardeal.Version, digest string, data []byte) (*Manifest, error) {
	if got := Sum(data); got != digest {
		return nil, &Error{Version: v, Reason: fmt.Sprintf("SHA-256 is %s, want %s", got, digest)}
	}
	var d Document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, &Error{Version: v, Reason: err.Error()}
	}
	if reason := d.fault(v); reason != "" {
		return nil, &Error{Version: v, Reason: reason}
	}
	return &Manifest{doc: d}, nil
}

// Encode returns the encoded manifest of chunks of equal size, for an origin
// that names no digest of the whole.
func Encode(v fulmardeal.Version, chunk int, digests []string) ([]byte, error) {
	d := Document{Model: v.Model, Version: v.Name, Size: int64(chunk) * int64(len(digests)), Chunk: chunk, Chunks: digests}
	d.Digest = Sum([]byte(strings.Join(digests, "")))
	if reason := d.fault(v); reason != "" {
		return nil, &Error{Version: v, Reason: reason}
	}
	return json.Marshal(d)
}

// fault returns the first thing that is wrong.
func (d *Document) fault(v fulmardeal.Version) string {
	switch {
	case d.Model != v.Model || d.Version != v.Name:
		return fmt.Sprintf("it describes %s@%s", d.Model, d.Version)
	case !label.ValidName(d.Model) || !label.ValidName(d.Version):
		return "its model or version is not a name"
	case d.Size <= 0 || d.Size > mostSize:
		return fmt.Sprintf("size of %d bytes", d.Size)
	case d.Chunk <= 0 || d.Chunk > MostChunkSize:
		return fmt.Sprintf("chunk size of %d bytes", d.Chunk)
	case len(d.Chunks) > mostChunks:
		return fmt.Sprintf("%d chunks", len(d.Chunks))
	}

	want := int((d.Size + int64(d.Chunk) - 1) / int64(d.Chunk))
	if len(d.Chunks) != want {
		return fmt.Sprintf("%d chunks, but its size needs %d", len(d.Chunks), want)
	}
	for i, c := range append([]string{d.Digest}, d.Chunks...) {
		raw, err := hex.DecodeString(c)
		if err != nil || len(raw) != sha256.Size {
			return fmt.Sprintf("digest %d is not a SHA-256", i)
		}
	}
	return ""
}

// Build makes the manifest of the bytes of r and hands each chunk to store.
func Build(v fulmardeal.Version, r io.Reader, chunk int, store func(index int, data []byte) error) ([]byte, error) {
	d := Document{Model: v.Model, Version: v.Name, Chunk: chunk}
	whole := sha256.New()
	buf := make([]byte, chunk)
	for {
		n, err := io.ReadFull(r, buf)
		if n > 0 {
			whole.Write(buf[:n])
			if err := store(len(d.Chunks), append([]byte(nil), buf[:n]...)); err != nil {
				return nil, err
			}
			d.Chunks = append(d.Chunks, Sum(buf[:n]))
			d.Size += int64(n)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	d.Digest = hex.EncodeToString(whole.Sum(nil))
	if reason := d.fault(v); reason != "" {
		return nil, &Error{Version: v, Reason: reason}
	}
	return json.Marshal(d)
}

// Sum returns the SHA-256 of data in lower-case hex.
func Sum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Version returns the version that is described.
func (m *Manifest) Version() fulmardeal.Version {
	return fulmardeal.Version{Model: m.doc.Model, Name: m.doc.Version}
}

// Size returns the number of bytes.
func (m *Manifest) Size() int64 { return m.doc.Size }

// Digest returns the SHA-256 of all bytes.
func (m *Manifest) Digest() string { return m.doc.Digest }

// Chunks returns the number of chunks.
func (m *Manifest) Chunks() int { return len(m.doc.Chunks) }

// ChunkDigest returns the SHA-256 of a chunk.
func (m *Manifest) ChunkDigest(index int) string { return m.doc.Chunks[index] }

// ChunkSize returns the number of bytes of a chunk.
func (m *Manifest) ChunkSize(index int) int {
	if index < len(m.doc.Chunks)-1 {
		return m.doc.Chunk
	}
	return int(m.doc.Size - int64(m.doc.Chunk)*int64(len(m.doc.Chunks)-1))
}

// Verify checks the bytes of a chunk.
func (m *Manifest) Verify(index int, data []byte) error {
	switch {
	case index < 0 || index >= len(m.doc.Chunks):
		return &Error{Version: m.Version(), Reason: fmt.Sprintf("there is no chunk %d", index)}
	case len(data) != m.ChunkSize(index):
		return &Error{Version: m.Version(), Reason: fmt.Sprintf("chunk %d has %d bytes, want %d", index, len(data), m.ChunkSize(index))}
	case Sum(data) != m.doc.Chunks[index]:
		return &Error{Version: m.Version(), Reason: fmt.Sprintf("chunk %d is corrupt", index)}
	}
	return nil
}
