package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/strictjson"
)

// publicKeyBytes is the length of an Ed25519 public key, in bytes.
const publicKeyBytes = 32

// ParseRouter decodes a router's settings on top of the defaults and reports all
// problems. The settings are valid only if there are none.
func ParseRouter(data []byte) (Router, []Problem) {
	settings := DefaultRouter()
	c := decodeAndCheck(data, &settings)
	c.checkVM(settings.VM)
	c.checkAddress("callers.address", settings.Callers.Address, true)
	c.checkTLS("callers.tls", settings.Callers.TLS)
	c.checkCommon(settings.Operators, settings.Peers, settings.Platform, settings.Bundles)
	return settings, c.problems
}

// ParseAgent decodes an agent's settings on top of the defaults and reports all
// problems. The settings are valid only if there are none.
func ParseAgent(data []byte) (Agent, []Problem) {
	settings := DefaultAgent()
	c := decodeAndCheck(data, &settings)
	c.checkVM(settings.VM)
	c.checkAddress("peer_address", settings.PeerAddress, true)
	c.checkAddress("target.address", settings.Target.Address, true)
	c.checkNotEmpty("target.pool", settings.Target.Pool)
	c.checkCommon(settings.Operators, settings.Peers, settings.Platform, settings.Bundles)
	return settings, c.problems
}

// InvalidError is returned for an invalid settings file and holds all of its
// problems.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error implements error. The message has one line per problem.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %d problem(s)\n%s", e.File, len(e.Problems), strictjson.FormatProblems(e.Problems))
}

// LoadRouter reads and checks a router's settings file.
func LoadRouter(file string) (Router, error) {
	return load(file, ParseRouter)
}

// LoadAgent reads and checks an agent's settings file.
func LoadAgent(file string) (Agent, error) {
	return load(file, ParseAgent)
}

func load[T any](file string, parse func([]byte) (T, []Problem)) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var zero T
		return zero, errors.Annotate(err, "settings")
	}
	settings, problems := parse(data)
	if len(problems) > 0 {
		return settings, &InvalidError{File: file, Problems: problems}
	}
	return settings, nil
}

// checker collects problems, at most one per path.
type checker struct {
	problems []Problem
}

func decodeAndCheck(data []byte, settings any) *checker {
	c := &checker{problems: strictjson.Decode(data, settings)}
	c.checkTags("", reflect.ValueOf(settings).Elem())
	return c
}

func (c *checker) addProblem(path, found, allowed string) {
	for _, problem := range c.problems {
		if problem.Path == path {
			return
		}
	}
	c.problems = append(c.problems, Problem{Path: path, Found: found, Allowed: allowed})
}

// checkTags checks all fields of a struct against their min, max and oneof tags.
func (c *checker) checkTags(path string, value reflect.Value) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		fieldPath := strings.TrimPrefix(path+"."+field.Tag.Get("json"), ".")
		fieldValue := value.Field(i)
		switch {
		case fieldValue.Kind() == reflect.Struct:
			c.checkTags(fieldPath, fieldValue)
		case field.Tag.Get("min") != "":
			c.checkRange(fieldPath, fieldValue, field.Tag.Get("min"), field.Tag.Get("max"))
		case field.Tag.Get("oneof") != "":
			c.checkOneOf(fieldPath, fieldValue.String(), strings.Fields(field.Tag.Get("oneof")))
		}
	}
}

func (c *checker) checkRange(path string, value reflect.Value, lower, upper string) {
	found := value.Int()
	minimum, maximum := parseBound(value, lower), parseBound(value, upper)
	if found >= minimum && found <= maximum {
		return
	}
	text := strconv.FormatInt(found, 10)
	if duration, ok := value.Interface().(Duration); ok {
		text = time.Duration(duration).String()
	}
	c.addProblem(path, text, fmt.Sprintf("%s to %s", lower, upper))
}

// parseBound parses a bound as the type of value. It panics on a malformed
// bound, since bounds are constants of this package.
func parseBound(value reflect.Value, text string) int64 {
	if _, ok := value.Interface().(Duration); ok {
		parsed, err := time.ParseDuration(text)
		if err != nil {
			panic(err)
		}
		return int64(parsed)
	}
	parsed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return parsed
}

func (c *checker) checkOneOf(path, found string, allowed []string) {
	for _, value := range allowed {
		if found == value {
			return
		}
	}
	c.addProblem(path, strconv.Quote(found), "one of: "+strings.Join(allowed, ", "))
}

func (c *checker) checkNotEmpty(path, value string) {
	if value == "" {
		c.addProblem(path, "nothing", "a name")
	}
}

func (c *checker) checkVM(vm VM) {
	c.checkNotEmpty("vm.id", vm.ID)
	c.checkNotEmpty("vm.region", vm.Region)
	c.checkNotEmpty("vm.data_centre", vm.DataCentre)
}

func (c *checker) checkAddress(path, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addProblem(path, strconv.Quote(value), "an IP address and port such as 10.0.0.1:8080")
	}
}

func (c *checker) checkTLS(path string, tls TLS) {
	if (tls.CertFile == "") != (tls.KeyFile == "") {
		c.addProblem(path, "one file", "both cert_file and key_file, or neither")
	}
}

func (c *checker) checkCommon(operators OperatorListener, peers Peers, platform Platform, bundles Bundles) {
	c.checkAddress("operators.address", operators.Address, false)
	c.checkTLS("operators.tls", operators.TLS)
	c.checkAddress("platform.address", platform.Address, true)
	for i, seed := range peers.Seeds {
		c.checkAddress(fmt.Sprintf("peers.seeds[%d]", i), seed, true)
	}
	fileCount := 0
	for _, file := range []string{peers.TLS.CertFile, peers.TLS.KeyFile, peers.TLS.CAFile} {
		if file != "" {
			fileCount++
		}
	}
	if fileCount != 0 && fileCount != 3 {
		c.addProblem("peers.tls", fmt.Sprintf("%d of 3 files", fileCount), "cert_file, key_file and ca_file, or none")
	}
	c.checkBundles(bundles)
}

func (c *checker) checkBundles(bundles Bundles) {
	if len(bundles.TrustedKeys) == 0 {
		c.addProblem("bundles.trusted_keys", "none", "at least one public key")
	}
	for i, key := range bundles.TrustedKeys {
		path := fmt.Sprintf("bundles.trusted_keys[%d]", i)
		c.checkNotEmpty(path+".id", key.ID)
		raw, err := hex.DecodeString(key.PublicKey)
		if err != nil || len(raw) != publicKeyBytes {
			c.addProblem(path+".public_key", strconv.Quote(key.PublicKey), "32 bytes in hexadecimal")
		}
	}
}
