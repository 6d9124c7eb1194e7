"""The event loop: uvloop, kept from using io_uring."""

import asyncio
import ctypes
import errno
import struct
from collections.abc import Coroutine
from typing import Any

import uvloop

PR_SET_NO_NEW_PRIVS = 38
PR_SET_SECCOMP = 22
SECCOMP_MODE_FILTER = 2
SECCOMP_RET_ALLOW = 0x7FFF0000
SECCOMP_RET_ERRNO = 0x00050000
BPF_LOAD_WORD = 0x20
BPF_JUMP_IF_EQUAL = 0x15
BPF_RETURN = 0x06
SYSCALL_NUMBER_OFFSET = 0
# The same number on every architecture.
SYSCALL_IO_URING_SETUP = 425


class _Program(ctypes.Structure):
    _fields_ = [("length", ctypes.c_ushort), ("instructions", ctypes.c_char_p)]


def forbid_io_uring() -> None:
    """Have the kernel refuse io_uring to this process from now on.

    uvloop's library sets up a ring for its own polling whatever its environment says,
    and goes on without one where the kernel has none. The processes of the system are
    to use no io_uring, so the kernel answers as if it had none.

    Raises
    ------
    OSError
        If the kernel takes no filter.
    """
    filters = [
        (BPF_LOAD_WORD, 0, 0, SYSCALL_NUMBER_OFFSET),
        (BPF_JUMP_IF_EQUAL, 0, 1, SYSCALL_IO_URING_SETUP),
        (BPF_RETURN, 0, 0, SECCOMP_RET_ERRNO | errno.ENOSYS),
        (BPF_RETURN, 0, 0, SECCOMP_RET_ALLOW),
    ]
    packed = b"".join(struct.pack("HBBI", *entry) for entry in filters)
    program = _Program(len(filters), packed)
    _prctl(PR_SET_NO_NEW_PRIVS, 1)
    _prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, ctypes.byref(program))


def run_event_loop(main: Coroutine[Any, Any, None]) -> None:
    """Run `main` on uvloop, or on asyncio's loop where io_uring can not be refused."""
    try:
        forbid_io_uring()
    except OSError:
        asyncio.run(main)
    else:
        uvloop.run(main)


def _prctl(option: int, *arguments: Any) -> None:
    libc = ctypes.CDLL(None, use_errno=True)
    rest = [0] * (4 - len(arguments))
    if libc.prctl(option, *arguments, *rest) != 0:
        code = ctypes.get_errno()
        raise OSError(code, f"prctl({option}) failed: {errno.errorcode.get(code)}")
