package ledger

import "testing"

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
