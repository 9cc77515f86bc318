package ci

import (
	"go/ast"
	"go/token"
	"maps"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// majorVersion matches the last part of an import path if it is a major version, such as v2.
var majorVersion = regexp.MustCompile(`^v\d+$`)

// nameSet is a set of names.
type nameSet map[string]bool

// codeIndex holds the names that the Go code of the repository declares.
type codeIndex struct {
	declared nameSet            // all names, including those of tests
	packages map[string]nameSet // by name of a package: the names declared in packages of that name
	types    map[string]nameSet // by name of a type: all names declared in the folders that declare such a type
	strings  nameSet            // string literals outside tests, such as log events, kinds of errors, paths of settings
	keys     nameSet            // keys of YAML and JSON in the tags of fields
	imports  nameSet            // names of imported packages, taken from their paths
	files    nameSet            // base names of Go files
}

// folder holds the names that the Go files of one folder declare.
type folder struct {
	packageName  string
	names, types nameSet
}

// newCodeIndex reads all Go files of the repository.
func newCodeIndex(t *testing.T) *codeIndex {
	t.Helper()
	index := &codeIndex{
		declared: nameSet{},
		packages: map[string]nameSet{},
		types:    map[string]nameSet{},
		strings:  nameSet{},
		keys:     nameSet{},
		imports:  nameSet{},
		files:    nameSet{},
	}
	folders := map[string]*folder{}
	eachGoFile(t, func(path string, file *ast.File) {
		f := folders[filepath.Dir(path)]
		if f == nil {
			f = &folder{names: nameSet{}, types: nameSet{}}
			folders[filepath.Dir(path)] = f
		}
		f.packageName = strings.TrimSuffix(file.Name.Name, "_test")
		f.addDeclarations(file)
		index.files[filepath.Base(path)] = true
		index.addImports(file)
		if !strings.HasSuffix(path, "_test.go") {
			index.addStrings(file)
		}
	})
	for _, f := range folders {
		index.addFolder(f)
	}
	return index
}

// addFolder adds the declarations of a folder.
func (index *codeIndex) addFolder(f *folder) {
	addAll(index.packages, f.packageName, f.names)
	for name := range f.types {
		addAll(index.types, name, f.names)
	}
	maps.Copy(index.declared, f.names)
}

// addImports adds the names of the packages that a file imports.
func (index *codeIndex) addImports(file *ast.File) {
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		name := path[strings.LastIndex(path, "/")+1:]
		if majorVersion.MatchString(name) {
			name = filepath.Base(filepath.Dir(path))
		}
		index.imports[name] = true
	}
}

// addStrings adds the string literals of a file, and the keys in the tags of fields.
func (index *codeIndex) addStrings(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		literal, ok := n.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			return true
		}
		index.strings[text] = true
		for _, format := range []string{"yaml", "json"} {
			key, _, _ := strings.Cut(reflect.StructTag(text).Get(format), ",")
			index.keys[key] = true
		}
		return true
	})
}

// declaresPrefix reports whether a declared name begins with a prefix.
func (index *codeIndex) declaresPrefix(prefix string) bool {
	for name := range index.declared {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// isKeyPath reports whether all parts of a name are keys of YAML or JSON.
func (index *codeIndex) isKeyPath(parts []string) bool {
	for _, part := range parts {
		if part == "" || !index.keys[part] {
			return false
		}
	}
	return true
}

// addDeclarations adds the names that a file declares, with the fields and methods of its types.
func (f *folder) addDeclarations(file *ast.File) {
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			f.names[d.Name.Name] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				f.addSpec(spec)
			}
		}
	}
}

// addSpec adds the names of one type, constant or variable.
func (f *folder) addSpec(spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		f.addIdents(s.Names)
	case *ast.TypeSpec:
		f.names[s.Name.Name], f.types[s.Name.Name] = true, true
		switch typ := s.Type.(type) {
		case *ast.StructType:
			f.addFields(typ.Fields)
		case *ast.InterfaceType:
			f.addFields(typ.Methods)
		}
	}
}

// addFields adds the names of fields or methods.
func (f *folder) addFields(fields *ast.FieldList) {
	for _, field := range fields.List {
		f.addIdents(field.Names)
	}
}

// addIdents adds identifiers.
func (f *folder) addIdents(idents []*ast.Ident) {
	for _, ident := range idents {
		f.names[ident.Name] = true
	}
}

// addAll adds names to the set of a key.
func addAll(sets map[string]nameSet, key string, names nameSet) {
	if sets[key] == nil {
		sets[key] = nameSet{}
	}
	maps.Copy(sets[key], names)
}

// scope returns the names that may follow name and a dot, if it is the name of a package or type. It is
// empty if there is neither.
func (index *codeIndex) scope(name string) nameSet {
	scope := maps.Clone(index.packages[name])
	if scope == nil {
		scope = nameSet{}
	}
	maps.Copy(scope, index.types[name])
	return scope
}
