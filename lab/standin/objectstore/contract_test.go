package objectstore_test

import (
	"context"
	"testing"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/lab/standin/objectstore"
	storeclient "github.com/wheatweir/wheatweir/objectstore"
)

func start(t *testing.T, settings objectstore.Settings) (*objectstore.Server, *storeclient.HTTPClient) {
	t.Helper()
	server, err := objectstore.Listen("127.0.0.1:0", settings)
	if err != nil {
		t.Fatal(err)
	}
	client := storeclient.NewHTTPClient(server.Address(), nil)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return server, client
}

var key = api.Key{Kind: api.KindModel, Name: "m"}

func object(value, writeID string) api.Object {
	return api.Object{Key: key, Value: []byte(value), WriteID: writeID, Writer: writeID}
}

func TestConditionalUpdate(t *testing.T) {
	_, client := start(t, objectstore.DefaultSettings())
	ctx := context.Background()
	missing, err := client.Get(ctx, key)
	if err != nil || missing.Version != 0 {
		t.Fatalf("missing object %+v error %v", missing, err)
	}
	first, err := client.Put(ctx, object(`"one"`, "a"), 0)
	if err != nil {
		t.Fatal(err)
	}
	inTheWay, err := client.Put(ctx, object(`"two"`, "b"), 0)
	if !storeclient.ErrConflict.Has(err) || inTheWay.WriteID != "a" || inTheWay.Version != first.Version {
		t.Fatalf("object %+v error %v", inTheWay, err)
	}
	second, err := client.Put(ctx, object(`"three"`, "c"), first.Version)
	if err != nil || second.Version <= first.Version {
		t.Fatalf("object %+v error %v", second, err)
	}
	if read, err := client.Get(ctx, key); err != nil || string(read.Value) != `"three"` {
		t.Fatalf("object %+v error %v", read, err)
	}
}

func TestWatchWaitsForAChange(t *testing.T) {
	_, client := start(t, objectstore.DefaultSettings())
	ctx := context.Background()
	type answer struct {
		through uint64
		objects int
	}
	answers := make(chan answer)
	go func() {
		delta, err := client.Changes(ctx, 0, 20*time.Second)
		if err != nil {
			t.Error(err)
		}
		answers <- answer{delta.Through, len(delta.Objects)}
	}()
	written, err := client.Put(ctx, object(`"one"`, "a"), 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := <-answers; got.through != written.Version || got.objects != 1 {
		t.Fatalf("answer %+v", got)
	}
	if delta, err := client.Changes(ctx, written.Version, 0); err != nil || len(delta.Objects) != 0 {
		t.Fatalf("delta %+v error %v", delta, err)
	}
}

func TestFaults(t *testing.T) {
	tight := objectstore.DefaultSettings()
	tight.WritesPerSecond = 0.001
	cases := []struct {
		name     string
		settings objectstore.Settings
		fault    objectstore.Faults
		object   api.Object
		notDone  bool
		stored   bool
	}{
		{"an outage", objectstore.DefaultSettings(), objectstore.Faults{Down: true}, object(`"x"`, "w"), true, false},
		{"a lost answer", objectstore.DefaultSettings(), objectstore.Faults{LostAnswers: 1}, object(`"x"`, "w"), false, true},
		{"over the rate", tight, objectstore.Faults{}, object(`"x"`, "w"), true, false},
		{"a value over a megabyte", objectstore.DefaultSettings(), objectstore.Faults{}, object(string(make([]byte, 2<<20)), "w"), true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server, client := start(t, c.settings)
			server.SetFaults(c.fault)
			_, err := client.Put(context.Background(), c.object, 0)
			if storeclient.ErrNotDone.Has(err) != c.notDone || err == nil || storeclient.ErrConflict.Has(err) {
				t.Fatalf("error %v", err)
			}
			stored := false
			server.Do(func(_ time.Time, core *objectstore.Core) { stored = core.Peek(key).WriteID == "w" })
			if stored != c.stored {
				t.Fatalf("stored %v", stored)
			}
		})
	}
}

func TestMachineListLags(t *testing.T) {
	core := objectstore.NewCore(objectstore.Settings{ReadsPerSecond: 100, WritesPerSecond: 100, MachineLag: 5 * time.Second, MaxValueBytes: 1 << 20})
	now := time.Unix(1000, 0)
	core.SetMachine(now, api.Machine{Name: "e1"})
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {4 * time.Second, 0}, {5 * time.Second, 1}} {
		objects, _ := core.Changes(now.Add(c.after), 0, []api.Kind{api.KindMachine})
		if len(objects) != c.want {
			t.Fatalf("after %s the list has %d machines, want %d", c.after, len(objects), c.want)
		}
	}
}
