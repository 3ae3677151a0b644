package fulmardeal

import (
	"fmt"
	"time"
)

// TrimmedError says that the log no longer keeps the records asked for.
type TrimmedError struct {
	Stream string
	First  Offset // the oldest record that is kept
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log stream %s: records before offset %d have expired", e.Stream, e.First)
}

// BusyError says that a service asks its caller to come back later.
type BusyError struct {
	Service string
	After   time.Duration
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("%s is busy: come back in %v", e.Service, e.After)
}

// MissingError says that a service does not have the thing asked for.
type MissingError struct {
	Service string
	Thing   string
}

func (e *MissingError) Error() string {
	return fmt.Sprintf("%s does not have %s", e.Service, e.Thing)
}

// UnsentError says that no byte of a call reached the endpoint.
type UnsentError struct {
	Address string
	Cause   error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("endpoint %s was not reached: %v", e.Address, e.Cause)
}

func (e *UnsentError) Unwrap() error { return e.Cause }

// RefusedOrderError says that an engine refused an order, for example because
// its fence was lower than the last one.
type RefusedOrderError struct {
	Order  LoadOrder
	Reason string
}

func (e *RefusedOrderError) Error() string {
	return fmt.Sprintf("order to load %v with fence %d refused: %s", e.Order.Version, e.Order.Fence, e.Reason)
}
