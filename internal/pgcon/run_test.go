package pgcon

import (
	"testing"

	"geraniumseam.dev/internal/proto"
)

// TestListIsReplayedAsList: a search_path of two schemas was replayed as the one schema "a,b".
func TestListIsReplayedAsList(t *testing.T) {
	got := setStatements([]proto.Setting{{Name: "search_path", Value: "a", More: []string{"it's"}}, {Name: "work_mem", Value: "64MB"}})
	if want := `SET "search_path" = 'a', 'it''s';SET "work_mem" = '64MB';`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestSettingIsReplayedAsOneStatement: the name of a custom setting in quotes, and a value with a backslash on a server
// whose standard_conforming_strings is off, ended the SET; the rest ran as a statement that nobody had sent.
func TestSettingIsReplayedAsOneStatement(t *testing.T) {
	for _, test := range []struct {
		setting proto.Setting
		want    string
	}{
		{proto.Setting{Name: `a.b = '1'; DELETE FROM ledger; SET c.d`, Value: "z"}, `SET "a"."b = '1'; DELETE FROM ledger; SET c"."d" = 'z';`},
		{proto.Setting{Name: `a.b" = '1'; DELETE FROM ledger; --`, Value: "z"}, `SET "a"."b"" = '1'; DELETE FROM ledger; --" = 'z';`},
		{proto.Setting{Name: "a.b", Value: `\'; DELETE FROM ledger; --`}, `SET "a"."b" = E'\\''; DELETE FROM ledger; --';`},
		{proto.Setting{Name: "a.b", Value: "x", More: []string{`c:\`}}, `SET "a"."b" = 'x', E'c:\\';`},
	} {
		if got := setStatements([]proto.Setting{test.setting}); got != test.want {
			t.Errorf("%+v: got %s, want %s", test.setting, got, test.want)
		}
	}
}
