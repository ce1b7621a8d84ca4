// Package node runs a sender on real sockets: it accepts messages from clients, keeps them in a journal, and sends them
// as a logic.Sender decides. All decisions about messages are made there, none in this package.
package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"rundeal/internal/wire"
	"rundeal/logic"
)

// Limits are the resource limits that the platform sets for the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// Config is the configuration that the platform gives a sender at its start.
type Config struct {
	Name          string
	ListenAddr    string
	AdminAddr     string // of the operators' interface; empty for none
	DiscoveryAddr string
	StateDir      string
	Seed          uint64
	Limits        Limits
	KnownList     EndpointList
	Deployment    wire.Deployment
	Classes       map[string]int
	Tenants       map[string]int
}

// classOf returns the class of a message. A message whose class has been removed from the settings is treated as one
// that must not be repeated.
func (c *Config) classOf(m *Message) logic.Class {
	if i, ok := c.Classes[m.Class]; ok {
		return c.Deployment.Settings.Classes[i]
	}
	return logic.Class{Name: m.Class, Idempotency: logic.NonIdempotent}
}

// LoadConfig reads the environment and the configuration file that it names.
func LoadConfig() (*Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, errors.New("BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read config: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("config %s: %w", path, err)
	}
	cfg.StateDir = os.Getenv("BALANCER_STATE")
	for name, field := range map[string]*string{
		"BALANCER_NAME":       &cfg.Name,
		"BALANCER_LISTEN":     &cfg.ListenAddr,
		"BALANCER_ADMIN_ADDR": &cfg.AdminAddr,
	} {
		if v := os.Getenv(name); v != "" {
			*field = v
		}
	}
	if cfg.DiscoveryAddr == "" { // the file takes precedence: it may be newer than the environment of this process
		cfg.DiscoveryAddr = os.Getenv("BALANCER_DISCOVERY")
	}
	if cfg.StateDir == "" || cfg.ListenAddr == "" || cfg.DiscoveryAddr == "" {
		return nil, errors.New("BALANCER_STATE, BALANCER_LISTEN and BALANCER_DISCOVERY must be set")
	}
	if _, _, err := net.SplitHostPort(cfg.DiscoveryAddr); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return cfg, nil
}

// ParseConfig parses the text of a configuration file.
func ParseConfig(text []byte) (*Config, error) {
	var in struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Admin     string          `json:"admin_addr"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     EndpointList    `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, err
	}
	deploy, err := wire.ParseDeployment(in.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	deploy.Settings.MaxCallBytes = maxBulkItems
	cfg := &Config{
		Name:          in.Name,
		ListenAddr:    in.Listen,
		AdminAddr:     in.Admin,
		DiscoveryAddr: in.Discovery,
		Limits:        in.Limits,
		KnownList:     in.Known,
		Deployment:    deploy,
		Classes:       map[string]int{},
		Tenants:       map[string]int{},
	}
	if in.Seed != "" {
		if cfg.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	for i, c := range deploy.Settings.Classes {
		cfg.Classes[c.Name] = i
	}
	for i, t := range deploy.Settings.Tenants {
		cfg.Tenants[t.Name] = i
	}
	return cfg, nil
}
