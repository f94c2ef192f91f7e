"""Conversions of settings that contain addresses, URLs or required texts."""

from collections.abc import Callable
from ipaddress import IPv4Address
from typing import Any
from urllib.parse import urlsplit

from attrs import frozen

from catkinslip.models import Address
from catkinslip.settings.base import Conversion, words

MAX_PORT = 65535


@frozen
class FormConversion(Conversion):
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


def parse_ip_number(text: str) -> str:
    """Return an IPv4 address that is announced to others.

    Raise ValueError if the text is invalid or the unspecified address (0.0.0.0).
    """
    number = IPv4Address(text)
    if number.is_unspecified:
        raise ValueError(text)
    return str(number)


def parse_required(text: str) -> str:
    """Return a text unchanged; raise ValueError if it is empty."""
    if not text:
        raise ValueError(text)
    return text


def parse_addresses(text: str) -> tuple[str, ...]:
    """Return comma-separated addresses; raise ValueError if one is invalid."""
    return tuple(parse_address(word) for word in words(text))


def parse_some_addresses(text: str) -> tuple[str, ...]:
    """Return one or more addresses; raise ValueError if any is invalid or missing."""
    return parse_addresses(parse_required(text))


def optional_url(text: str) -> str:
    """Return an HTTP URL or an empty text; raise ValueError if it is invalid."""
    return parse_url(text) if text else ''


required = FormConversion('a text that is not empty', parse_required)
ip_number = FormConversion('an IPv4 number that others can reach', parse_ip_number)
http_url = FormConversion('http://host:port or https://host:port', parse_url)
http_url_or_empty = FormConversion(
    'http://host:port, https://host:port or empty', optional_url
)
addresses = FormConversion('host:port, separated by commas', parse_addresses)
some_addresses = FormConversion(
    'host:port, or several separated by commas', parse_some_addresses
)


def optional(conversion: Conversion) -> FormConversion:
    """Return a conversion that converts an empty text to None."""
    return FormConversion(
        f'{conversion.text}, or empty',
        lambda text: conversion(text) if text else None,
    )
