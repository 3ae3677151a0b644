package loader

import (
	"context"
	"sync"

	"fulmardeal"
)

// origin is a client of the origin of weights at the address in the current
// configuration.
type origin struct {
	open OpenOrigin

	mu      sync.Mutex
	address string
	origin  fulmardeal.Origin
	release func()
}

// setAddress changes the address, and closes the connections to the previous one.
func (o *origin) setAddress(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if address == o.address {
		return
	}
	if o.release != nil {
		o.release()
	}
	o.address = address
	o.origin, o.release = o.open(address)
}

func (o *origin) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.release != nil {
		o.release()
	}
}

func (o *origin) client() (fulmardeal.Origin, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.origin == nil {
		return nil, &fulmardeal.MissingError{Service: "configuration", Resource: "the address of the weights' origin"}
	}
	return o.origin, nil
}

// Manifest returns the encoded manifest of v, not validated.
func (o *origin) Manifest(ctx context.Context, v fulmardeal.Version) ([]byte, error) {
	c, err := o.client()
	if err != nil {
		return nil, err
	}
	return c.Manifest(ctx, v)
}

// Chunk returns the data of one chunk, not verified.
func (o *origin) Chunk(ctx context.Context, v fulmardeal.Version, index int) ([]byte, error) {
	c, err := o.client()
	if err != nil {
		return nil, err
	}
	return c.Chunk(ctx, v, index)
}
