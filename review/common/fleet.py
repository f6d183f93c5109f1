"""Starts routers with the command and the settings template of deploy/, as separate processes."""

import json
import os
import re
import signal
import socket
import subprocess
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def free_port():
    """Returns a free loopback port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def _look_up(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                break
        else:
            return value
    return None


def render(template, fields, scopes=None):
    """Fills in a settings template as DEPLOY.md says."""
    scopes = scopes or [fields]

    def section(match):
        kind, name, inner = match.groups()
        value = _look_up(name, scopes)
        if kind == "^":
            return render(inner, fields, scopes) if not value else ""
        if value is None or value is False:
            return ""
        if isinstance(value, list):
            return "".join(render(inner, fields, scopes + [item]) for item in value)
        if isinstance(value, dict):
            return "".join(render(inner, fields, scopes + [item]) for item in value.values())
        return render(inner, fields, scopes)

    text = re.sub(r"\{\{([#^])([\w.-]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", section, template, flags=re.S)

    def value(match):
        name, _, form = match.group(1).partition("|")
        found = _look_up(name, scopes)
        if form == "json" or isinstance(found, dict):
            return json.dumps(found)
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(str(item) for item in found)
        return str(found)

    return re.sub(r"\{\{([\w.|-]+)\}\}", value, text)


class Router:
    """One router. It may be killed, stopped, frozen and started again."""

    def __init__(self, name, zone, store_address, folder, bounds=None, zones=None):
        ports = [free_port() for _ in range(4)]
        self.name = name
        self.front, self.ready = ports[0], ports[1]
        self.folder = folder
        self.starts = 0
        self.process = None
        self.fields = {
            "node": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "port-range": [ports[2], ports[3]],
            "listen": {"front": f"127.0.0.1:{ports[0]}", "ready": f"127.0.0.1:{ports[1]}"},
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "link-mbps": 1000.0},
            "zones": zones or {zone: "region-1"},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "platform"],
            "bounds": {
                "stable-window-ms": 3000, "drain-ms": 2000, "grace-s": 8,
                "config-apply-ms": 2000, "retry-budget-ratio": 0.2, "budget-window-s": 10,
                "retry-budget-slack": 58, "recovery-s": 12, "settle_ms": 1500, **(bounds or {}),
            },
            "platform": {"address": store_address, "form": "kv"},
        }

    def start(self):
        with open(f"{ROOT}/deploy/system.toml", encoding="utf-8") as file:
            role = dict(re.findall(r'^(\w+) = "(.*)"$', file.read(), flags=re.M))
        with open(f"{ROOT}/{role['template']}", encoding="utf-8") as file:
            settings = render(file.read(), self.fields)
        path = f"{self.folder}/{self.name}.yaml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        words = role["run"].split()
        command = [f"{ROOT}/{words[0]}"] + [
            path if word == "/etc/peridotslip/boot.toml" else word for word in words[1:]
        ]
        self.starts += 1
        with open(f"{self.folder}/{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder,
                     "PERIDOTSLIP_SETTINGS": path},
            )
        return self

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        """Kills the process, like a loss of power."""
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_lines(self):
        with open(f"{self.folder}/{self.name}.log", encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()


def end(routers):
    """Ends all routers."""
    for router in routers:
        router.kill()


class Record:
    """Writes record.txt, with the time since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()
