package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"fulmardeal"
	"fulmardeal/platform"
)

// playTenants takes the last tenant out of the configuration, and then sends requests with its
// key, with a key that no configuration ever held, and without one. With no trouble the tenant
// stays and only loses its key.
func playTenants(t *trial) (broken int, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store, err := t.startStore()
	if err != nil {
		return 0, err
	}
	if err := t.configure(tenantsCatalogue(1, []string{"key-1"})); err != nil {
		return 0, err
	}
	if _, err := t.startRunner(ctx, "i-0"); err != nil {
		return 0, err
	}
	if err := t.startEntry(store); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	for attempt, key := range map[string]string{"before": "key-1", "before-foreign": "foreign"} {
		t.keyCall(ctx, attempt, key)
	}
	c := tenantsCatalogue(2, nil)
	record, err := platform.ConfigRecord(c)
	if err != nil {
		return 0, err
	}
	if t.trouble {
		var fields map[string]any
		if err := json.Unmarshal(record.Value, &fields); err != nil {
			return 0, err
		}
		fields["tenants"] = []any{}
		if record.Value, err = json.Marshal(fields); err != nil {
			return 0, err
		}
	}
	t.store.Append(string(platform.TopicOperator), []platform.Record{record})
	t.log("configuration 2 acknowledged, which takes the key away")
	time.Sleep(revokeMax + time.Second)
	for _, key := range []string{"key-1", "foreign", ""} {
		if t.keyCall(ctx, "after-"+key, key) {
			broken++
			t.log("BROKEN: a request with the key %q ran, %v after the acknowledgement", key, revokeMax+time.Second)
		}
	}
	return broken, nil
}

func tenantsCatalogue(version int64, keys []string) *fulmardeal.Catalogue {
	c := leaveCatalogue()
	c.Version = version
	c.Customers = []fulmardeal.Customer{{Name: "dojo", Keys: keys}}
	return c
}

// keyCall sends a request with a key, and reports whether it has run.
func (t *trial) keyCall(ctx context.Context, attempt, key string) bool {
	ctx, cancel := context.WithTimeout(ctx, clientPatient)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.callers+"/record/1/", nil)
	if err != nil {
		return false
	}
	req.Host = hostName
	platform.PeerCodec{}.SetRequestMetadata(req.Header, fulmardeal.RequestMetadata{AttemptID: attempt, Deadline: clientPatient, APIKey: key})
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.log("%s with key %q: %v", attempt, key, err)
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	t.log("%s with key %q: %d, stamp %q", attempt, key, resp.StatusCode, platform.PeerCodec{}.Signature(resp.Header))
	return platform.PeerCodec{}.Signature(resp.Header) != ""
}
