"""Settings of a cell: parses and validates the TOML settings file.

>>> from siskintally.settings import parse
>>> text = '''
... [cell]
... name = "demo"
... secret = "0123456789abcdef"
... [[process]]
... name = "e1"
... role = "entry"
... domain = "jylland-a"
... region = "jylland"
... link = "127.0.0.1:7201"
... http = "127.0.0.1:7101"
... '''
>>> parse(text).process_by_name["e1"].http.port
7101
"""

from pathlib import Path
from ssl import CERT_REQUIRED, Purpose, SSLError, TLSVersion, create_default_context
from tomllib import TOMLDecodeError, loads

from siskintally.errors import BadSettingsError

MIN_SECRET_LENGTH = 16
MAX_PORT = 65535
ROLES = ("entry", "store")
CELL_GROUP = "cell"


class Address:
    """A TCP address.

    >>> str(Address.parse("127.0.0.1:80", key="http"))
    '127.0.0.1:80'
    """

    __slots__ = ("host", "port")

    def __init__(self, *, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text, *, key):
        """Parse ``host:port``.

        :param key: name of the setting, for the error message.
        :raises BadSettingsError: the text is not an address.
        """
        host, colon, port = str(text).rpartition(":")
        if not colon or not host or not port.isdigit() or not 1 <= int(port) <= MAX_PORT:
            raise BadSettingsError(
                f"{key} = {text!r}: expected host:port with port 1 to {MAX_PORT}"
            )
        return cls(host=host, port=int(port))

    def __str__(self):
        return f"{self.host}:{self.port}"


class Process:
    """One process of the cell.

    :param role: ``entry`` or ``store``.
    :param domain: failure domain of the process.
    :param link: address on which the process accepts links of other processes.
    :param http: address for callers, endpoints, and operators; entries only.
    :param data: data folder; stores only.
    """

    __slots__ = ("data", "domain", "http", "link", "name", "region", "role")

    def __init__(self, *, name, role, domain, region, link, http=None, data=None):
        self.name = name
        self.role = role
        self.domain = domain
        self.region = region
        self.link = link
        self.http = http
        self.data = data


class Tls:
    """Paths of the TLS files of a process: its certificate and the authority of the cell.

    :param authority: PEM file of the certificate authority that all processes of the cell trust.
    :param certificate: PEM file of the certificate of the process.
    :param key: PEM file of its private key.
    """

    __slots__ = ("authority", "certificate", "key")

    def __init__(self, *, authority, certificate, key):
        self.authority = authority
        self.certificate = certificate
        self.key = key

    def server_context(self):
        """Return a TLS context that requires a certificate from the client.

        :raises BadSettingsError: a file is missing or holds no certificate.
        """
        context = self._context(Purpose.CLIENT_AUTH)
        context.verify_mode = CERT_REQUIRED
        return context

    def client_context(self):
        """Return a TLS context for outgoing links.

        Host names are not checked, because processes are addressed by IP address and any process
        of the cell may run there. The authority signs only certificates of the cell.

        :raises BadSettingsError: a file is missing or holds no certificate.
        """
        context = self._context(Purpose.SERVER_AUTH)
        context.check_hostname = False
        return context

    def _context(self, purpose):
        try:
            context = create_default_context(purpose, cafile=self.authority)
            context.load_cert_chain(self.certificate, self.key)
        except (OSError, SSLError) as error:
            files = f"{self.authority}, {self.certificate}, {self.key}"
            raise BadSettingsError(f"cell.tls: cannot load {files}: {error}") from error
        context.minimum_version = TLSVersion.TLSv1_3
        context.set_alpn_protocols(["h2"])
        return context


class GroupSettings:
    """Settings of a replicated group.

    :param members: names of the initial member stores; the first one bootstraps the group.
    :param domains: failure domains whose workers and ledger it owns; empty for the cell group.
    """

    __slots__ = ("domains", "members", "name")

    def __init__(self, *, name, members, domains):
        self.name = name
        self.members = members
        self.domains = domains


class Settings:
    """All settings of a cell.

    :param operator_by_token: ``{token: operator name}``.
    :param service_by_token: ``{token: service}`` of endpoints; empty if endpoints need no token.
    :param statsd: :class:`Address` of a statsd server, or None.
    :param tls_folder: folder of the certificates, or None if links are not encrypted.
    """

    __slots__ = (
        "cell",
        "group_by_name",
        "operator_by_token",
        "process_by_name",
        "secret",
        "service_by_token",
        "statsd",
        "tls_folder",
    )

    def __init__(
        self,
        *,
        cell,
        secret,
        process_by_name,
        group_by_name,
        operator_by_token,
        service_by_token,
        statsd,
        tls_folder,
    ):
        self.cell = cell
        self.secret = secret
        self.process_by_name = process_by_name
        self.group_by_name = group_by_name
        self.operator_by_token = operator_by_token
        self.service_by_token = service_by_token
        self.statsd = statsd
        self.tls_folder = tls_folder

    def tls(self, name):
        """Return the TLS files of a process, or None if links are not encrypted.

        The folder ``cell.tls`` holds ``authority.pem``, ``<process>.pem``, and
        ``<process>.key``.
        """
        if self.tls_folder is None:
            return None
        folder = Path(self.tls_folder)
        return Tls(
            authority=str(folder / "authority.pem"),
            certificate=str(folder / f"{name}.pem"),
            key=str(folder / f"{name}.key"),
        )

    def process(self, name):
        """Return the process with this name.

        :raises BadSettingsError: there is none.
        """
        if name not in self.process_by_name:
            known = ", ".join(sorted(self.process_by_name))
            raise BadSettingsError(f"--name = {name!r}: expected one of {known}")
        return self.process_by_name[name]

    def entries(self, *, domain=None):
        """Yield the entry processes, of one failure domain or of all."""
        for process in self.process_by_name.values():
            if process.role == "entry" and domain in (None, process.domain):
                yield process

    def group_of_domain(self, domain):
        """Return the domain group that owns a failure domain.

        :raises BadSettingsError: no group owns it.
        """
        for group in self.group_by_name.values():
            if domain in group.domains:
                return group
        raise BadSettingsError(f"group.domains: no group owns failure domain {domain!r}")

    def groups_of_store(self, name):
        """Yield the groups that a store is an initial member of."""
        for group in self.group_by_name.values():
            if name in group.members:
                yield group

    def domain_groups(self):
        """Yield the groups that own failure domains, in name order."""
        for name in sorted(self.group_by_name):
            if self.group_by_name[name].domains:
                yield self.group_by_name[name]


def load(path):
    """Read, parse and validate a settings file.

    :raises BadSettingsError: the file is missing or a value is out of range.
    """
    try:
        return parse(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise BadSettingsError(f"--settings = {str(path)!r}: {error.strerror}") from error


def parse(text):
    """Parse and validate settings given as TOML text.

    :raises BadSettingsError: names the key, the value, and the allowed values.
    """
    try:
        document = loads(text)
    except TOMLDecodeError as error:
        raise BadSettingsError(f"settings are not TOML: {error}") from error
    _check_keys(
        document, "settings", ("cell", "process", "group", "operator", "endpoint", "metrics")
    )
    cell = _read_table(document, "cell", ("name", "secret", "tls"))
    secret = _read_string(cell, "cell.secret", "secret")
    if len(secret) < MIN_SECRET_LENGTH:
        raise BadSettingsError(f"cell.secret: expected at least {MIN_SECRET_LENGTH} characters")
    process_by_name = _read_processes(document.get("process", []))
    metrics = _read_table(document, "metrics", ("statsd",)) if "metrics" in document else {}
    statsd = metrics.get("statsd")
    return Settings(
        cell=_read_string(cell, "cell.name", "name"),
        secret=secret,
        process_by_name=process_by_name,
        group_by_name=_read_groups(document.get("group", []), process_by_name),
        operator_by_token=_read_tokens(document.get("operator", []), "operator", "name"),
        service_by_token=_read_tokens(document.get("endpoint", []), "endpoint", "service"),
        statsd=Address.parse(statsd, key="metrics.statsd") if statsd else None,
        tls_folder=_read_string(cell, "cell.tls", "tls") if "tls" in cell else None,
    )


def _check_keys(table, key, names):
    for name in table:
        if name not in names:
            raise BadSettingsError(f"{key}.{name}: unknown key, expected one of {', '.join(names)}")


def _read_table(document, key, names):
    table = document.get(key)
    if not isinstance(table, dict):
        raise BadSettingsError(f"{key}: expected a table [{key}]")
    _check_keys(table, key, names)
    return table


def _read_string(table, key, name):
    value = table.get(name)
    if not isinstance(value, str) or not value:
        raise BadSettingsError(f"{key} = {value!r}: expected a non-empty string")
    return value


def _read_processes(rows):
    by_name = {}
    for number, row in enumerate(rows):
        key = f"process[{number}]"
        _check_keys(row, key, ("name", "role", "domain", "region", "link", "http", "data"))
        process = Process(
            name=_read_string(row, f"{key}.name", "name"),
            role=_read_string(row, f"{key}.role", "role"),
            domain=_read_string(row, f"{key}.domain", "domain"),
            region=_read_string(row, f"{key}.region", "region"),
            link=Address.parse(row.get("link"), key=f"{key}.link"),
            http=Address.parse(row["http"], key=f"{key}.http") if "http" in row else None,
            data=row.get("data"),
        )
        _check_process(process, key)
        if process.name in by_name:
            raise BadSettingsError(f"{key}.name = {process.name!r}: used twice")
        by_name[process.name] = process
    return by_name


def _check_process(process, key):
    if process.role not in ROLES:
        raise BadSettingsError(f"{key}.role = {process.role!r}: expected one of {', '.join(ROLES)}")
    if process.role == "entry" and process.http is None:
        raise BadSettingsError(f"{key}.http: an entry needs an address for HTTP")
    if process.role == "store" and not isinstance(process.data, str):
        raise BadSettingsError(f"{key}.data = {process.data!r}: a store needs a data folder")


def _read_groups(rows, process_by_name):
    by_name = {}
    owned_domains = set()
    for number, row in enumerate(rows):
        key = f"group[{number}]"
        _check_keys(row, key, ("name", "members", "domains"))
        name = _read_string(row, f"{key}.name", "name")
        members = tuple(row.get("members", ()))
        for member in members:
            if member not in process_by_name or process_by_name[member].role != "store":
                raise BadSettingsError(f"{key}.members: {member!r} is not a store")
        if not members or len(set(members)) != len(members):
            raise BadSettingsError(
                f"{key}.members = {list(members)}: expected a list of distinct stores"
            )
        domains = tuple(row.get("domains", ()))
        if owned_domains & set(domains):
            raise BadSettingsError(
                f"{key}.domains = {list(domains)}: another group owns one of them too"
            )
        if bool(domains) == (name == CELL_GROUP):
            raise BadSettingsError(
                f"{key}.domains: expected failure domains, and none for the group {CELL_GROUP!r}"
            )
        owned_domains.update(domains)
        by_name[name] = GroupSettings(name=name, members=members, domains=domains)
    return by_name


def _read_tokens(rows, table, value_key):
    """Return ``{token: value of the key value_key}`` from an array of tables."""
    by_token = {}
    for number, row in enumerate(rows):
        key = f"{table}[{number}]"
        _check_keys(row, key, (value_key, "token"))
        token = _read_string(row, f"{key}.token", "token")
        if len(token) < MIN_SECRET_LENGTH or token in by_token:
            raise BadSettingsError(
                f"{key}.token: expected a distinct token of at least {MIN_SECRET_LENGTH} characters"
            )
        by_token[token] = _read_string(row, f"{key}.{value_key}", value_key)
    return by_token
