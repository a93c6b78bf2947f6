"""Acknowledged configurations in a Git-like object store, for people to read."""

import asyncio
import re
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
from dulwich.objects import Blob, Commit, Tree
from dulwich.repo import Repo

from swiftdeck.fault import NOT_FOUND, is_fault
from swiftdeck.wire.messages import ConfigAsk

REF, FILE = b"refs/heads/main", b"config.json"
WORDS = re.compile(r"^version (\d+)\n\nChange-Id: (.*)$", re.M)


class Archive:
    """Each version that the tail answers with becomes a commit.

    A failure is counted and the version left out; nothing depends on the archive.
    """

    def __init__(self, path, chain, change_writer, telemetry, wall=time.time):
        self.path, self.chain, self.change_writer, self.telemetry, self.wall = (
            path,
            chain,
            change_writer,
            telemetry,
            wall,
        )
        self.waiting, self.pool = deque(maxlen=1000), ThreadPoolExecutor(1)
        chain.state.on_config = self.on_config

    def start(self):
        """Go on keeping."""
        self.task = asyncio.ensure_future(self._keeping())

    def on_config(self, entry):
        """A version was written here; whether it stands is known later."""
        self.waiting.append(entry)

    async def _keeping(self):
        while True:
            await asyncio.sleep(1.0)
            got = await self.change_writer.read_tail(ConfigAsk()) if self.waiting else None
            while (
                got
                and not is_fault(got)
                and self.waiting
                and self.waiting[0]["version"] <= got.version
            ):
                await self.run(self.keep, self.waiting.popleft())

    async def run(self, work, *args):
        """Do something with the store on its own helper thread; None when it failed."""
        try:
            return await asyncio.get_running_loop().run_in_executor(self.pool, work, *args)
        except Exception as error:
            self.telemetry.count["archiveFailures"] += 1
            self.telemetry.set_fact("archive", repr(error)[:200])
            return None

    def _repo(self):
        if not (Path(self.path) / "objects").exists():
            return Repo.init_bare(self.path, mkdir=not Path(self.path).exists())
        return Repo(self.path)

    def keep(self, entry):
        """One commit for one version, unless it or a later one is there already."""
        with self._repo() as repo:
            if (
                REF in repo.refs
                and self._shown(repo[repo.refs[REF]])["version"] >= entry["version"]
            ):
                return
            document = msgspec.json.format(entry["document"].bytes(), indent=1) + b"\n"
            blob, tree, commit = Blob.from_string(document), Tree(), Commit()
            tree.add(FILE, 0o100644, blob.id)
            name = re.sub(r"[<>\n\0]", " ", entry["author"]).strip() or "operator"
            commit.tree, commit.parents = tree.id, [repo.refs[REF]] if REF in repo.refs else []
            commit.author = commit.committer = f"{name} <>".encode()
            commit.author_time = commit.commit_time = int(self.wall())
            commit.author_timezone = commit.commit_timezone = 0
            commit.encoding = b"UTF-8"
            commit.message = f"version {entry['version']}\n\nChange-Id: {entry['id']}\n".encode()
            for each in (blob, tree, commit):
                repo.object_store.add_object(each)
            repo.refs[REF] = commit.id
        self.telemetry.count["archived"] += 1

    def log(self, most=200):
        """The newest versions with author, change id and time."""
        with self._repo() as repo:
            if REF not in repo.refs:
                return []
            return [
                self._shown(entry.commit)
                for entry in repo.get_walker([repo.refs[REF]], max_entries=most)
            ]

    @staticmethod
    def _shown(commit):
        version, change = WORDS.search(commit.message.decode()).groups()
        return {
            "version": int(version),
            "changeId": change,
            "author": commit.author.decode().removesuffix(" <>"),
            "wallS": commit.commit_time,
            "commit": commit.id.decode(),
        }

    def document(self, version):
        """The text of a version, or a fault."""
        with self._repo() as repo:
            walker = repo.get_walker([repo.refs[REF]]) if REF in repo.refs else ()
            found = next(
                (each.commit for each in walker if self._shown(each.commit)["version"] == version),
                None,
            )
            return (
                NOT_FOUND.with_reason(f"version {version}")
                if found is None
                else repo[repo[found.tree][FILE][1]].data.decode()
            )
