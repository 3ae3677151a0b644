package chunk

import "math/bits"

// Bitmap is the set of chunks that a process holds; chunk i is bit i%8 of byte i/8.
type Bitmap []byte

// NewBitmap returns an empty bitmap for n chunks.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Has reports whether chunk i is held.
func (b Bitmap) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set marks chunk i as held. An index beyond the bitmap is ignored.
func (b Bitmap) Set(i int) {
	if i/8 < len(b) {
		b[i/8] |= 1 << (i % 8)
	}
}

// Clear marks chunk i as not held. An index beyond the bitmap is ignored.
func (b Bitmap) Clear(i int) {
	if i/8 < len(b) {
		b[i/8] &^= 1 << (i % 8)
	}
}

// Count returns the number of chunks held.
func (b Bitmap) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}
