package client

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/juju/errors"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"

	"github.com/springstack/springstack/internal/result"
)

// Settings are the settings of the operators' client.
type Settings struct {
	// Servers are URLs of daemons' operators' addresses, tried in turn.
	Servers []string `koanf:"servers" validate:"dive,http_url"`
	// TokenFile holds the partner's token.
	TokenFile string `koanf:"token_file"`
	// CAFile verifies the servers; empty for the system's.
	CAFile string `koanf:"ca_file"`
	// CertificateFile and KeyFile are the client's own, if servers ask for one.
	CertificateFile string `koanf:"certificate_file" validate:"required_with=KeyFile"`
	KeyFile         string `koanf:"key_file" validate:"required_with=CertificateFile"`
	// Output is table or json.
	Output string `koanf:"output" validate:"omitempty,oneof=table json"`
	// Timeout bounds a command.
	Timeout time.Duration `koanf:"timeout" validate:"gte=0"`
}

// LoadSettings reads a settings file in YAML. Unknown keys and bad values are
// SettingsInvalid, all listed.
func LoadSettings(path string) (Settings, error) {
	var settings Settings
	loaded := koanf.New(".")
	if err := loaded.Load(file.Provider(path), yaml.Parser()); err != nil {
		return settings, result.New(result.SettingsInvalid, "settings file %s can't be read: %v", path, err)
	}
	decoding := koanf.UnmarshalConf{DecoderConfig: &mapstructure.DecoderConfig{
		Result:      &settings,
		ErrorUnused: true,
		TagName:     "koanf",
		DecodeHook:  mapstructure.StringToTimeDurationHookFunc(),
	}}
	if err := loaded.UnmarshalWithConf("", &settings, decoding); err != nil {
		return settings, result.New(result.SettingsInvalid, "settings file %s: %v", path, err)
	}
	if err := validator.New().Struct(settings); err != nil {
		return settings, result.New(result.SettingsInvalid, "settings file %s: %v", path, err)
	}
	return settings, nil
}

// Connect returns a client for the settings.
func (s Settings) Connect() (*Client, error) {
	token, err := s.token()
	if err != nil {
		return nil, errors.Trace(err)
	}
	tlsConfig, err := s.tlsConfig()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return New(s.Servers, token, tlsConfig)
}

func (s Settings) token() (string, error) {
	if s.TokenFile == "" {
		return "", result.New(result.Unauthenticated, "no token file is given; see --token-file")
	}
	text, err := os.ReadFile(s.TokenFile)
	if err != nil {
		return "", result.New(result.Unauthenticated, "the token file can't be read: %v", err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", result.New(result.Unauthenticated, "token file %s is empty", s.TokenFile)
	}
	return token, nil
}

func (s Settings) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if s.CAFile != "" {
		text, err := os.ReadFile(s.CAFile)
		if err != nil {
			return nil, result.New(result.SettingsInvalid, "the CA file can't be read: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(text) {
			return nil, result.New(result.SettingsInvalid, "CA file %s holds no certificate", s.CAFile)
		}
	}
	if s.CertificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(s.CertificateFile, s.KeyFile)
		if err != nil {
			return nil, result.New(result.SettingsInvalid, "the client certificate can't be read: %v", err)
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	return config, nil
}
