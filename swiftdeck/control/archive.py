"""An archive of acknowledged configurations in a bare Git repository, for people to read."""

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

REF, FILE_NAME = b"refs/heads/main", b"config.json"
MESSAGE_PATTERN = re.compile(r"^version (\d+)\n\nChange-Id: (.*)$", re.M)


class Archive:
    """Writes each acknowledged version of the configuration as a commit.

    A version counts as acknowledged once the tail of the chain has it. A failure is counted and
    the version left out; no other part of the system depends on the archive.
    """

    def __init__(self, path, chain, change_writer, telemetry, wall_clock=time.time):
        self.path, self.chain, self.change_writer, self.telemetry, self.wall_clock = (
            path,
            chain,
            change_writer,
            telemetry,
            wall_clock,
        )
        self.pending, self.executor = deque(maxlen=1000), ThreadPoolExecutor(1)
        chain.state.on_config = self.on_config

    def start(self):
        """Start the task that archives versions."""
        self.task = asyncio.ensure_future(self._archive_versions())

    def on_config(self, entry):
        """Queue a version that was written at this core but may not be acknowledged yet."""
        self.pending.append(entry)

    async def _archive_versions(self):
        while True:
            await asyncio.sleep(1.0)
            tail = await self.change_writer.read_tail(ConfigAsk()) if self.pending else None
            while (
                tail
                and not is_fault(tail)
                and self.pending
                and self.pending[0]["version"] <= tail.version
            ):
                await self.run_in_thread(self.commit_version, self.pending.popleft())

    async def run_in_thread(self, function, *args):
        """Run a function on the archive's thread; return its result, or None if it failed."""
        try:
            return await asyncio.get_running_loop().run_in_executor(self.executor, function, *args)
        except Exception as error:
            self.telemetry.count["archiveFailures"] += 1
            self.telemetry.set_fact("archive", repr(error)[:200])
            return None

    def _open_repository(self):
        if not (Path(self.path) / "objects").exists():
            return Repo.init_bare(self.path, mkdir=not Path(self.path).exists())
        return Repo(self.path)

    def commit_version(self, entry):
        """Commit a version, unless the archive has it or a later one already."""
        with self._open_repository() as repo:
            if (
                REF in repo.refs
                and self._describe(repo[repo.refs[REF]])["version"] >= entry["version"]
            ):
                return
            document = msgspec.json.format(entry["document"].operators_bytes(), indent=1) + b"\n"
            blob, tree, commit = Blob.from_string(document), Tree(), Commit()
            tree.add(FILE_NAME, 0o100644, blob.id)
            author = re.sub(r"[<>\n\0]", " ", entry["author"]).strip() or "operator"
            commit.tree, commit.parents = tree.id, [repo.refs[REF]] if REF in repo.refs else []
            commit.author = commit.committer = f"{author} <>".encode()
            commit.author_time = commit.commit_time = int(self.wall_clock())
            commit.author_timezone = commit.commit_timezone = 0
            commit.encoding = b"UTF-8"
            commit.message = f"version {entry['version']}\n\nChange-Id: {entry['id']}\n".encode()
            for git_object in (blob, tree, commit):
                repo.object_store.add_object(git_object)
            repo.refs[REF] = commit.id
        self.telemetry.count["archived"] += 1

    def list_versions(self, limit=200):
        """Return the newest versions, each with author, change id, time and commit id."""
        with self._open_repository() as repo:
            if REF not in repo.refs:
                return []
            return [
                self._describe(entry.commit)
                for entry in repo.get_walker([repo.refs[REF]], max_entries=limit)
            ]

    @staticmethod
    def _describe(commit):
        version, change = MESSAGE_PATTERN.search(commit.message.decode()).groups()
        return {
            "version": int(version),
            "changeId": change,
            "author": commit.author.decode().removesuffix(" <>"),
            "wallS": commit.commit_time,
            "commit": commit.id.decode(),
        }

    def read_document(self, version):
        """Return the JSON text of a version, or a fault if the archive does not have it."""
        with self._open_repository() as repo:
            walker = repo.get_walker([repo.refs[REF]]) if REF in repo.refs else ()
            commit = next(
                (
                    entry.commit
                    for entry in walker
                    if self._describe(entry.commit)["version"] == version
                ),
                None,
            )
            return (
                NOT_FOUND.with_reason(f"version {version}")
                if commit is None
                else repo[repo[commit.tree][FILE_NAME][1]].data.decode()
            )
