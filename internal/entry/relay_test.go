package entry

import (
	"context"
	"encoding/json"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"

	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/wire"
)

// Guards against a command that counts as uncertain, so that its caller waits and sends it again, while all daemons have refused it.
func TestRelayThatFindsNoRoomIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 5)
		for _, d := range c.daemons {
			d.full.Store(true)
		}
		c.setStores(refusing, 1)
		answer, _ := c.submit(1, relayedTestJob)
		if answer.Result != Unavailable || answer.RetryAfter <= 0 {
			t.Errorf("answer %+v, want unavailable with a time", answer)
		}
		if c.relayed() == 0 || c.isStored(relayedTestJob) {
			t.Errorf("%d relays, stored %v; want some, and nothing stored", c.relayed(), c.isStored(relayedTestJob))
		}
	})
}

// Guards against an owner that spends forty times the size of a relayed job on steps that no job may have.
func TestRelayedJobIsRefusedBeforeItIsDecoded(t *testing.T) {
	const steps, most = 16_000, 1 << 20
	record := []byte(`{"queue":{},"spec":{"payload":"","steps":[{}` + strings.Repeat(",{}", steps) + `]}}`)
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 1)
		for _, command := range []string{commandAccept, commandPreview} {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			reply := c.daemons["d0"].HandleIntake(context.Background(), &wire.IntakeRequest{Command: command, Job: string(relayedTestJob), Record: record, TimeoutMs: 1000})
			runtime.ReadMemStats(&after)
			if result := reply.GetIntake().GetResult(); result != resultUnavailable {
				t.Errorf("%s: result %q, want %q", command, result, resultUnavailable)
			}
			if took := after.TotalAlloc - before.TotalAlloc; took > most {
				t.Errorf("%s: %d bytes allocated for a record of %d, want at most %d", command, took, len(record), most)
			}
		}
	})
}

// Guards against rows that the store refuses, and all that is done for them.
func TestRelayedRecordLargerThanARowIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCell(t, 1)
		d := c.daemons["d0"]
		spec := testSpec()
		spec.Payload = strings.Repeat("x", 2000)
		record, err := json.Marshal(ledger.JobRecord{Queue: testQueue, Spec: spec})
		if err != nil {
			t.Fatal(err)
		}
		req := &wire.IntakeRequest{Command: commandAccept, Job: string(relayedTestJob), Record: record, TimeoutMs: 1000}
		d.Replica.SetMaxRowBytes(len(record) - 1)
		if result := d.HandleIntake(context.Background(), req).GetIntake().GetResult(); result != resultUnavailable {
			t.Errorf("a byte over a row: %q, want %q", result, resultUnavailable)
		}
		d.Replica.SetMaxRowBytes(len(record))
		if result := d.HandleIntake(context.Background(), req).GetIntake().GetResult(); result != resultOK {
			t.Errorf("as large as a row: %q, want %q", result, resultOK)
		}
	})
}
