package fulmardeal

import (
	"fmt"
	"time"
)

// TrimmedError reports that the requested records of a log stream have expired.
type TrimmedError struct {
	Stream string
	First  Offset // offset of the oldest retained record
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("log stream %s: records before offset %d have expired", e.Stream, e.First)
}

// EraError reports that the store is in another era than the one that a call or
// its client knows, because it was restored from a backup. A position of the known era
// says nothing about the store's records.
type EraError struct {
	Stream string
	Have   int64 // era that is known
	Got    int64 // era of the response; below Have if the response is out of date
}

func (e *EraError) Error() string {
	return fmt.Sprintf("log stream %s: response of era %d, era %d is known", e.Stream, e.Got, e.Have)
}

// BusyError reports that a service is overloaded and asks its client to retry
// later.
type BusyError struct {
	Service    string
	RetryAfter time.Duration // time after which the client may retry
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("%s is busy: retry after %v", e.Service, e.RetryAfter)
}

// MissingError reports that a service does not have the requested resource.
type MissingError struct {
	Service  string
	Resource string // such as a URL path
}

func (e *MissingError) Error() string {
	return fmt.Sprintf("%s: %s not found", e.Service, e.Resource)
}

// UnsentError reports that a call failed before any byte of it was sent, so that
// the endpoint has not run it.
type UnsentError struct {
	Address string
	Cause   error
}

func (e *UnsentError) Error() string {
	return fmt.Sprintf("endpoint %s not reached, call not sent: %v", e.Address, e.Cause)
}

func (e *UnsentError) Unwrap() error { return e.Cause }

// RefusedOrderError reports that an engine refused an order to load weights, for
// example because an earlier order had a higher fencing token.
type RefusedOrderError struct {
	Order  LoadOrder
	Reason string
}

func (e *RefusedOrderError) Error() string {
	return fmt.Sprintf("engine refused order to load %v with fence %d: %s", e.Order.Version, e.Order.Fence, e.Reason)
}
