package stmt

import "strings"

// pureFunctions are the functions a read may call on any server.
var pureFunctions = set("count", "sum", "min", "max", "avg", "coalesce", "nullif", "lower", "upper", "length",
	"substr", "substring", "trim", "abs", "round", "greatest", "least", "concat", "replace", "cast", "exists",
	"in", "any", "all", "and", "or", "not", "on", "using", "values", "over", "by", "where", "when", "then",
	"else", "from", "select", "as", "limit", "offset", "having", "between", "like", "version", "now",
	"current_database", "current_schema", "filter", "with", "union", "intersect", "except", "lateral", "join")

// writeWords make a statement a write wherever they stand in it as plain words.
var writeWords = set("insert", "update", "delete", "merge", "into", "for", "nextval", "setval", "call", "do",
	"truncate", "create", "drop", "alter", "lock", "copy")

// pinWords start statements whose effect outlives them on the connection.
var pinWords = set("declare", "load", "prepare", "deallocate", "execute", "fetch", "move", "close", "discard")

// refusedWords start statements that cannot be carried over pooled connections.
var refusedWords = set("copy", "listen", "unlisten")

func set(names ...string) map[string]bool {
	made := make(map[string]bool, len(names))
	for _, name := range names {
		made[name] = true
	}
	return made
}

// Classify tells what a request's text may do; several statements at once are as demanding as the worst of them.
func Classify(text string) Class {
	tokens, ok := words(text)
	if !ok {
		return Class{Kind: Pin, Keeps: true}
	}
	parts := split(tokens)
	if len(parts) == 0 {
		return Class{Kind: Empty}
	}
	if len(parts) == 1 {
		return classifyOne(parts[0])
	}
	return classifyMany(parts)
}

// classifyMany joins several statements: transaction control among them is not
// followed step by step, so the whole is pinned to one connection.
func classifyMany(parts [][]token) Class {
	worst := Class{Kind: Read}
	for _, part := range parts {
		class := classifyOne(part)
		switch class.Kind {
		case Refused:
			return class
		case Set, Pin:
			worst.Kind, worst.Keeps = Pin, true
		case Begin, Commit, Rollback:
			worst.Kind = Pin
		default:
			worst.Kind = max(worst.Kind, class.Kind)
		}
	}
	return worst
}

func split(tokens []token) [][]token {
	var parts [][]token
	start := 0
	for at, word := range tokens {
		if word.text != ";" || word.literal || word.quoted {
			continue
		}
		if at > start {
			parts = append(parts, tokens[start:at])
		}
		start = at + 1
	}
	if start < len(tokens) {
		parts = append(parts, tokens[start:])
	}
	return parts
}

func classifyOne(tokens []token) Class {
	switch first := tokens[0].text; {
	case first == "select" || first == "values" || first == "table" || first == "with":
		kind := readOrWrite(tokens)
		return Class{Kind: kind, Keeps: kind == Pin}
	case first == "begin" || first == "start":
		return begin(tokens)
	case first == "commit" || first == "end":
		return ended(tokens, Commit)
	case first == "rollback" || first == "abort":
		return ended(tokens, Rollback)
	case first == "savepoint" || first == "release":
		return Class{Kind: Write}
	case first == "set" || first == "reset":
		return setting(tokens)
	case first == "show":
		return show(tokens)
	case first == "explain":
		return Class{Kind: Write}
	case refusedWords[first]:
		return Class{Kind: Refused}
	case pinWords[first], first == "create" && hasWord(tokens, "temp", "temporary"):
		return Class{Kind: Pin, Keeps: true}
	default:
		return Class{Kind: Write}
	}
}

// ended tells the end of a transaction from a step inside it: ROLLBACK TO a
// savepoint goes on, PREPARE and CHAIN leave more behind than a pool can track.
func ended(tokens []token, kind Kind) Class {
	if hasWord(tokens, "to") {
		return Class{Kind: Write}
	}
	if hasWord(tokens, "prepared", "chain") {
		return Class{Kind: Refused}
	}
	return Class{Kind: kind}
}

func readOrWrite(tokens []token) Kind {
	for at, word := range tokens {
		if word.literal {
			continue
		}
		if !word.quoted && writeWords[word.text] {
			return Write
		}
		if at+1 < len(tokens) && tokens[at+1].text == "(" && !tokens[at+1].literal && callsUnknown(word) {
			if strings.HasPrefix(word.text, "pg_advisory") || word.text == "set_config" {
				return Pin
			}
			return Write
		}
	}
	return Read
}

// callsUnknown reports whether a word before a parenthesis may be a function that is not known to be pure.
func callsUnknown(word token) bool {
	if word.quoted {
		return true
	}
	return isWord(word.text[0]) && !pureFunctions[word.text]
}

func begin(tokens []token) Class {
	for at, word := range tokens {
		if word.text == "read" && at+1 < len(tokens) && tokens[at+1].text == "only" {
			return Class{Kind: Begin, ReadOnly: true}
		}
	}
	return Class{Kind: Begin}
}

// setting reads SET name = value, SET name TO value and RESET name.
func setting(tokens []token) Class {
	rest := tokens[1:]
	if len(rest) > 0 && rest[0].text == "local" || hasWord(tokens, "transaction") {
		return Class{Kind: Write}
	}
	if len(rest) > 0 && rest[0].text == "session" {
		rest = rest[1:]
	}
	name, rest := dotted(rest)
	if name == "" {
		return Class{Kind: Pin, Keeps: true}
	}
	if tokens[0].text == "reset" {
		return Class{Kind: Set, Setting: name}
	}
	if len(rest) < 2 || rest[0].text != "=" && rest[0].text != "to" {
		return Class{Kind: Pin, Keeps: true}
	}
	var value strings.Builder
	for _, word := range rest[1:] {
		value.WriteString(word.text)
	}
	return Class{Kind: Set, Setting: name, Value: value.String()}
}

func show(tokens []token) Class {
	name, rest := dotted(tokens[1:])
	if name == "" || len(rest) > 0 {
		return Class{Kind: Read}
	}
	return Class{Kind: Show, Setting: name}
}

// dotted joins a name of the form a.b and returns what follows it.
func dotted(tokens []token) (string, []token) {
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
	for _, word := range tokens {
		if word.literal || word.quoted {
			continue
		}
		for _, want := range wanted {
			if word.text == want {
				return true
			}
		}
	}
	return false
}
