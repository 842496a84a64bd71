package ledger

import "testing"

// No log entry may make Decode or Apply panic.
func FuzzDecode(f *testing.F) {
	data, err := Encode(Command{Claim: &Claim{Key: Key{Service: "pay", Key: "k"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := Decode(data)
		if err == nil {
			New().Apply(Position{Index: 1}, command)
		}
	})
}

// No snapshot may make Restore or Versions panic.
func FuzzRestore(f *testing.F) {
	data, err := New().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if state, err := Restore(data); err == nil {
			state.Versions()
		}
	})
}
