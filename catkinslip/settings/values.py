"""Conversions of settings that contain addresses, URLs or required texts."""

from collections.abc import Callable
from ipaddress import IPv4Address
from typing import Any
from urllib.parse import urlsplit

from attrs import frozen

from catkinslip.models import Address
from catkinslip.settings.base import Conversion, split_list

MAX_PORT = 65535


@frozen
class FormatConversion(Conversion):
    """Conversion with a parse function and a phrase for the accepted format."""

    form: str
    parse: Callable[[str], Any]

    @property
    def text(self) -> str:
        """Return a phrase for the allowed values, used in help and errors."""
        return self.form

    def __call__(self, text: str) -> Any:
        """Convert the text of a setting; raise ValueError if it is not allowed."""
        return self.parse(text)


def parse_url(text: str) -> str:
    """Return an HTTP URL without trailing slashes; raise ValueError if invalid."""
    parts = urlsplit(text)
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        raise ValueError(text)
    if parts.query or parts.fragment or parts.port == 0:
        raise ValueError(text)
    return text.rstrip('/')


def parse_address(text: str) -> str:
    """Return an address as host:port; raise ValueError if it is invalid."""
    address = Address.parse(text)
    if not 0 < address.port <= MAX_PORT:
        raise ValueError(text)
    return str(address)


def parse_ipv4_address(text: str) -> str:
    """Return an IPv4 address that is announced to others.

    Raise ValueError if the text is invalid or the unspecified address (0.0.0.0).
    """
    address = IPv4Address(text)
    if address.is_unspecified:
        raise ValueError(text)
    return str(address)


def parse_required(text: str) -> str:
    """Return a text unchanged; raise ValueError if it is empty."""
    if not text:
        raise ValueError(text)
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Return comma-separated addresses; raise ValueError if one is invalid."""
    return tuple(parse_address(item) for item in split_list(text))


def parse_required_addresses(text: str) -> tuple[str, ...]:
    """Return one or more addresses; raise ValueError if any is invalid or missing."""
    return parse_addresses(parse_required(text))


def optional_url(text: str) -> str:
    """Return an HTTP URL or an empty text; raise ValueError if it is invalid."""
    return parse_url(text) if text else ''


required = FormatConversion('a text that is not empty', parse_required)
ipv4_address = FormatConversion(
    'an IPv4 number that others can reach', parse_ipv4_address
)
http_url = FormatConversion('http://host:port or https://host:port', parse_url)
http_url_or_empty = FormatConversion(
    'http://host:port, https://host:port or empty', optional_url
)
addresses = FormatConversion('host:port, separated by commas', parse_addresses)
required_addresses = FormatConversion(
    'host:port, or several separated by commas', parse_required_addresses
)


def optional(conversion: Conversion) -> FormatConversion:
    """Return a conversion that converts an empty text to None."""
    return FormatConversion(
        f'{conversion.text}, or empty',
        lambda text: conversion(text) if text else None,
    )
