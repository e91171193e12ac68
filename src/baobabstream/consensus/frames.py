"""Checksummed frames, in which the files of the replicated log store their records.

A frame is a header of ``HEADER_BYTES`` bytes and a body, the encoded record. A torn tail is an
incomplete frame at the end of a file, as an interrupted write leaves it. A sync makes the operating
system store written data on the disk. Offsets are bytes from the start of the file.
"""

import zlib
from collections.abc import Iterator
from pathlib import Path

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import StorageError

__all__ = ["HEADER_BYTES", "encode_frame", "iterate_frames", "decode_single_frame"]

# Three big-endian numbers of 4 bytes: length of the body, CRC-32 of the body, and CRC-32 of the
# two numbers before.
HEADER_BYTES = 12


def encode_frame(body: bytes) -> bytes:
    """Return a frame: a header of ``HEADER_BYTES`` bytes, then the body."""
    header = len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big")
    return header + zlib.crc32(header).to_bytes(4, "big") + body


def iterate_frames(path: Path, data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield the end offset and body of each frame, up to a torn tail.

    Parameters
    ----------
    path
        File that the data is from, for error messages.
    data
        Contents of the file.

    Raises
    ------
    StorageError
        ``LOG_DAMAGED``, with file and byte offset, for damage that an interrupted write cannot
        cause.

    Notes
    -----
    Each sync covers one frame, so an interrupted write leaves one incomplete frame at the end.
    The header has its own checksum: a damaged length field must not make the rest of the file
    look like a torn tail. File systems may extend a file before its data is written, so a header
    with a wrong checksum that nothing but zeros follow counts as torn; no body consists of zeros. A
    wrong checksum of the body counts as torn only if the frame is the last one.

    The slices of the header are the numbers that ``HEADER_BYTES`` lists: bytes 0 to 3 are the
    length of the body, 4 to 7 its checksum, and 8 to 11 the checksum of the first 8 bytes.
    """
    offset = 0
    while offset < len(data):
        header = data[offset : offset + HEADER_BYTES]
        if len(header) < HEADER_BYTES:
            return
        if zlib.crc32(header[:8]) != int.from_bytes(header[8:], "big"):
            if not any(data[offset + HEADER_BYTES :]):
                return
            raise _damaged(path, offset)
        end = offset + HEADER_BYTES + int.from_bytes(header[:4], "big")
        body = data[offset + HEADER_BYTES : end]
        if end > len(data):
            return
        if zlib.crc32(body) != int.from_bytes(header[4:8], "big"):
            if end == len(data):
                return
            raise _damaged(path, offset)
        yield end, body
        offset = end


def decode_single_frame(path: Path, data: bytes) -> bytes:
    """Return the body of a file that consists of exactly one frame.

    Such a file is written under a temporary name, synced and renamed, so an interrupted write
    cannot damage it.

    Raises
    ------
    StorageError
        ``LOG_DAMAGED`` if the file holds anything else.
    """
    # Pairs of the end offset and the body of a frame.
    frames = list(iterate_frames(path, data))
    if len(frames) != 1 or frames[0][0] != len(data):
        # 0: the frame starts at the first byte.
        raise _damaged(path, 0)
    return frames[0][1]


def _damaged(path: Path, offset: int) -> StorageError:
    """Return the error for a damaged frame that starts ``offset`` bytes into the file."""
    return StorageError(ResultCode.LOG_DAMAGED, f"{path}: record at byte {offset}")
