package stmt

import (
	"slices"
	"strings"
)

// readOnlyCalls lists what may precede a parenthesis in a read: functions without side
// effects, and keywords.
var readOnlyCalls = wordSet("count", "sum", "min", "max", "avg", "coalesce", "nullif", "lower", "upper", "length",
	"substr", "substring", "trim", "abs", "round", "greatest", "least", "concat", "replace", "cast", "exists",
	"in", "any", "all", "and", "or", "not", "on", "using", "values", "over", "by", "where", "when", "then",
	"else", "from", "select", "as", "limit", "offset", "having", "between", "like", "version", "now",
	"current_database", "current_schema", "filter", "with", "union", "intersect", "except", "lateral", "join")

// writeWords make a query a write if they occur in it anywhere as unquoted words.
var writeWords = wordSet("insert", "update", "delete", "merge", "into", "for", "nextval", "setval", "call", "do",
	"truncate", "create", "drop", "alter", "lock", "copy")

// pinWords start statements that leave state on the connection.
var pinWords = wordSet("declare", "load", "prepare", "deallocate", "execute", "fetch", "move", "close", "discard")

// refusedWords start statements that do not work over pooled connections.
var refusedWords = wordSet("copy", "listen", "unlisten")

func wordSet(names ...string) map[string]bool {
	words := make(map[string]bool, len(names))
	for _, name := range names {
		words[name] = true
	}
	return words
}

// Classify classifies a request's text. Several statements in one text get the most
// restrictive kind among them.
func Classify(text string) Class {
	class := classify(text)
	class.NeverCommits, class.WritesNothing = effects(text)
	return class
}

func classify(text string) Class {
	tokens, ok := tokenize(text)
	parts := splitStatements(tokens)
	switch {
	case !ok && classifyMany(parts).Kind == Refused:
		return Class{Kind: Refused}
	case !ok:
		return Class{Kind: Pin, LeavesState: true}
	case len(parts) == 0:
		return Class{Kind: Empty}
	case len(parts) == 1:
		return classifyOne(parts[0])
	}
	return classifyMany(parts)
}

// classifyMany classifies several statements in one text. If there is transaction control
// among them, the text is pinned to one connection, since the state of the transaction is
// not tracked from statement to statement.
func classifyMany(parts [][]token) Class {
	combined := Class{Kind: Read}
	for _, part := range parts {
		class := classifyOne(part)
		switch class.Kind {
		case Refused:
			return class
		case Set, Pin:
			combined.Kind, combined.LeavesState = Pin, true
		case Begin, Commit, Rollback:
			combined.Kind = Pin
		default:
			combined.Kind = max(combined.Kind, class.Kind)
		}
	}
	return combined
}

// splitStatements splits tokens at semicolons, without empty statements.
func splitStatements(tokens []token) [][]token {
	var parts [][]token
	start := 0
	for i, tok := range tokens {
		if tok.text != ";" || tok.literal || tok.quoted {
			continue
		}
		if i > start {
			parts = append(parts, tokens[start:i])
		}
		start = i + 1
	}
	if start < len(tokens) {
		parts = append(parts, tokens[start:])
	}
	return parts
}

func classifyOne(tokens []token) Class {
	class := classifyByFirstWord(tokens)
	if (class.Kind == Read || class.Kind == Write) && leavesState(tokens) {
		return Class{Kind: Pin, LeavesState: true}
	}
	return class
}

// leavesState reports whether a statement, whatever its first word, calls a function that is known
// to leave state on the connection, or puts rows into a temporary table that it creates.
func leavesState(tokens []token) bool {
	for i, tok := range tokens[:len(tokens)-1] {
		next := tokens[i+1]
		switch {
		case tok.literal:
		case next.text == "(" && !next.literal && (tok.text == "set_config" || strings.Contains(tok.text, "advisory")):
			return true
		case tok.text == "into" && !tok.quoted && hasWord(tokens[i+1:i+2], "temp", "temporary"):
			return true
		}
	}
	return false
}

func classifyByFirstWord(tokens []token) Class {
	switch first := tokens[0].text; {
	case first == "select" || first == "values" || first == "table" || first == "with":
		return Class{Kind: classifyQuery(tokens)}
	case first == "begin" || first == "start":
		return classifyBegin(tokens)
	case first == "commit" || first == "end":
		return classifyTxEnd(tokens, Commit)
	case first == "rollback" || first == "abort":
		return classifyTxEnd(tokens, Rollback)
	case first == "savepoint" || first == "release":
		return Class{Kind: Write}
	case first == "set" || first == "reset":
		return classifySet(tokens)
	case first == "show":
		return classifyShow(tokens)
	case first == "explain":
		return Class{Kind: Write}
	case refusedWords[first], first == "prepare" && preparesTx(tokens):
		return Class{Kind: Refused}
	case pinWords[first], first == "create" && hasWord(tokens, "temp", "temporary"):
		return Class{Kind: Pin, LeavesState: true}
	default:
		return Class{Kind: Write}
	}
}

// classifyTxEnd classifies COMMIT and ROLLBACK. ROLLBACK TO a savepoint does not end the
// transaction; PREPARED and CHAIN are refused, since they leave transactions behind that
// a pool cannot track.
func classifyTxEnd(tokens []token, kind Kind) Class {
	if hasWord(tokens, "to") {
		return Class{Kind: Write}
	}
	if hasWord(tokens, "prepared", "chain") {
		return Class{Kind: Refused}
	}
	return Class{Kind: kind}
}

// preparesTx tells PREPARE TRANSACTION 'id' from PREPARE of a statement with the name transaction.
func preparesTx(tokens []token) bool {
	if len(tokens) < 2 || tokens[1].text != "transaction" || tokens[1].quoted {
		return false
	}
	return len(tokens) == 2 || tokens[2].literal || tokens[2].text != "as" && tokens[2].text != "("
}

// classifyQuery returns whether a query reads or writes.
func classifyQuery(tokens []token) Kind {
	for i, tok := range tokens {
		if tok.literal {
			continue
		}
		if !tok.quoted && writeWords[tok.text] {
			return Write
		}
		if i+1 < len(tokens) && tokens[i+1].text == "(" && !tokens[i+1].literal && mayCallUnknownFunction(tok) {
			return Write
		}
	}
	return Read
}

// mayCallUnknownFunction reports whether the token before a parenthesis may be a function
// that is not known to be free of side effects.
func mayCallUnknownFunction(tok token) bool {
	if tok.quoted {
		return true
	}
	return isWordByte(tok.text[0]) && !readOnlyCalls[tok.text]
}

func classifyBegin(tokens []token) Class {
	for i, tok := range tokens {
		if tok.text == "read" && i+1 < len(tokens) && tokens[i+1].text == "only" {
			return Class{Kind: Begin, ReadOnly: true}
		}
	}
	return Class{Kind: Begin}
}

// classifySet classifies SET name = value, SET name TO value, SET name TO DEFAULT and RESET name.
func classifySet(tokens []token) Class {
	rest := tokens[1:]
	if len(rest) > 0 && rest[0].text == "local" {
		return Class{Kind: Write}
	}
	if len(rest) > 0 && rest[0].text == "session" {
		rest = rest[1:]
	}
	if tokens[0].text == "set" && len(rest) > 0 && rest[0].text == "transaction" && !rest[0].quoted {
		return Class{Kind: Write}
	}
	name, rest := qualifiedName(rest)
	if name == "" {
		return Class{Kind: Pin, LeavesState: true}
	}
	if tokens[0].text == "reset" {
		return Class{Kind: Set, Setting: name, Reset: true}
	}
	if len(rest) < 2 || rest[0].text != "=" && rest[0].text != "to" {
		return Class{Kind: Pin, LeavesState: true}
	}
	if v := rest[1]; len(rest) == 2 && v.text == "default" && !v.literal && !v.quoted {
		return Class{Kind: Set, Setting: name, Reset: true}
	}
	elements, ok := settingElements(rest[1:])
	if !ok {
		return Class{Kind: Pin, LeavesState: true}
	}
	return Class{Kind: Set, Setting: name, Value: elements[0], More: elements[1:]}
}

// settingElements returns the elements of the value of a SET. It reports false for an element that is neither one
// word or string nor a number.
func settingElements(tokens []token) ([]string, bool) {
	elements := []string{}
	for len(tokens) > 0 {
		end := slices.IndexFunc(tokens, func(tok token) bool { return tok.text == "," && !tok.literal && !tok.quoted })
		if end < 0 {
			end = len(tokens)
		}
		element := tokens[:end]
		isString := slices.ContainsFunc(element, func(tok token) bool { return tok.literal || tok.quoted })
		if end == 0 || end == len(tokens)-1 || isString && end > 1 {
			return nil, false
		}
		var text strings.Builder
		for _, tok := range element {
			text.WriteString(tok.text)
		}
		elements = append(elements, text.String())
		tokens = tokens[min(end+1, len(tokens)):]
	}
	return elements, len(elements) > 0
}

func classifyShow(tokens []token) Class {
	name, rest := qualifiedName(tokens[1:])
	if name == "" || len(rest) > 0 {
		return Class{Kind: Read}
	}
	return Class{Kind: Show, Setting: name}
}

// qualifiedName returns the name of the form a.b that the tokens start with, and the tokens
// after it.
func qualifiedName(tokens []token) (string, []token) {
	if len(tokens) == 0 || tokens[0].literal {
		return "", tokens
	}
	name := tokens[0].text
	rest := tokens[1:]
	for len(rest) >= 2 && rest[0].text == "." {
		name += "." + rest[1].text
		rest = rest[2:]
	}
	return name, rest
}

func hasWord(tokens []token, wanted ...string) bool {
	for _, tok := range tokens {
		if tok.literal || tok.quoted {
			continue
		}
		for _, want := range wanted {
			if tok.text == want {
				return true
			}
		}
	}
	return false
}
