"""Bodies of the HTTP protocol spoken with the platform; msgpack on the wire."""

import msgspec

from carobroute.platform._interface import Row, Transaction, TransactionOutcome
from carobroute.world import Instance

CONTENT_TYPE = "application/msgpack"


class ReadQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /table/read`."""

    table: str
    key: str


class ScanQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `POST /table/scan`."""

    table: str
    prefix: str
    after: str
    limit: int


encode = msgspec.msgpack.Encoder().encode
read_query_decoder = msgspec.msgpack.Decoder(ReadQuery)
scan_query_decoder = msgspec.msgpack.Decoder(ScanQuery)
row_decoder = msgspec.msgpack.Decoder(Row | None)
rows_decoder = msgspec.msgpack.Decoder(list[Row])
transaction_decoder = msgspec.msgpack.Decoder(Transaction)
outcome_decoder = msgspec.msgpack.Decoder(TransactionOutcome)
instance_decoder = msgspec.msgpack.Decoder(Instance)
instances_decoder = msgspec.msgpack.Decoder(list[Instance])
