package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// Bounds on the structure of the input. The YAML library parses recursively, and
// its time grows with the square of the depth, of the number of keys in a
// mapping and of the number of empty values. Without the bounds, an input of one
// megabyte could exhaust the stack or occupy a core for minutes.
const (
	maxDepth = 32
	maxKeys  = 64
	maxEmpty = 64
)

// checkTokens rejects YAML features that documents do not use, and nesting, keys
// and empty values beyond the bounds, whose cost is out of proportion to their
// size.
func checkTokens(tokens token.Tokens) Faults {
	var n nesting
	empty := 0
	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.DirectiveType, token.MappingKeyType:
			return malformed(position(t), t.Value, "YAML without anchors, aliases, tags, merge keys, directives and complex keys")
		case token.InvalidType:
			return malformed(position(t), t.Error, "YAML")
		}
		if !n.visit(t) {
			return malformed(position(t), t.Value, "YAML with matching brackets")
		}
		if len(n.levels) > maxDepth {
			return malformed(position(t), "nested value", fmt.Sprintf("at most %d levels", maxDepth))
		}
		if n.keys() > maxKeys {
			return malformed(position(t), "mapping", fmt.Sprintf("at most %d keys", maxKeys))
		}
		if isEmpty(t) {
			empty++
		}
		if empty > maxEmpty {
			return malformed(position(t), "empty value", fmt.Sprintf("at most %d empty values", maxEmpty))
		}
	}
	return nil
}

// level is a collection that encloses the current token: a flow collection in
// brackets or braces, or a block collection whose keys or entries start in one
// column.
type level struct {
	flow         bool
	column, keys int
}

// nesting tracks the open levels while tokens are visited in order.
type nesting struct{ levels []level }

func (n *nesting) top() *level {
	if len(n.levels) == 0 {
		return nil
	}
	return &n.levels[len(n.levels)-1]
}

// keys returns the number of keys of the innermost level.
func (n *nesting) keys() int {
	if top := n.top(); top != nil {
		return top.keys
	}
	return 0
}

// visit updates the levels for one token. It returns false for a closing bracket
// without an opening one.
func (n *nesting) visit(t *token.Token) bool {
	switch t.Type {
	case token.MappingStartType, token.SequenceStartType:
		n.levels = append(n.levels, level{flow: true})
	case token.MappingEndType, token.SequenceEndType:
		return n.leave()
	case token.SequenceEntryType:
		n.enter(t.Position.Column)
	case token.MappingValueType:
		if t.Prev != nil {
			n.enter(t.Prev.Position.Column)
		}
		if top := n.top(); top != nil {
			top.keys++
		}
	}
	return true
}

// leave closes a flow collection. It returns false if none is open.
func (n *nesting) leave() bool {
	top := n.top()
	if top == nil || !top.flow {
		return false
	}
	n.levels = n.levels[:len(n.levels)-1]
	return true
}

// enter closes the block levels that end before a key or entry at column, and
// opens a level at that column if there is none. Inside flow collections,
// columns have no meaning.
func (n *nesting) enter(column int) {
	top := n.top()
	for top != nil && !top.flow && top.column > column {
		n.levels = n.levels[:len(n.levels)-1]
		top = n.top()
	}
	if top == nil || !top.flow && top.column < column {
		n.levels = append(n.levels, level{column: column})
	}
}

// isEmpty reports whether t starts an entry or a value that has no content.
func isEmpty(t *token.Token) bool {
	column := t.Position.Column
	switch {
	case t.Type == token.MappingValueType && t.Prev != nil:
		column = t.Prev.Position.Column
	case t.Type != token.SequenceEntryType:
		return false
	}
	next := t.Next
	for next != nil && next.Type == token.CommentType {
		next = next.Next
	}
	if next == nil {
		return true
	}
	switch next.Type {
	case token.CollectEntryType, token.MappingEndType, token.SequenceEndType:
		return true
	}
	if next.Position.Line == t.Position.Line || next.Position.Column > column {
		return false
	}
	// The entries of a list may start in the column of its key.
	return next.Position.Column < column || t.Type != token.MappingValueType || next.Type != token.SequenceEntryType
}

func position(t *token.Token) string {
	return fmt.Sprintf("line %d, column %d", t.Position.Line, t.Position.Column)
}
