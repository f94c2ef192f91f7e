"""Paths and headers of the control API, for the server and its clients."""

SECRET_HEADER = 'Catkinslip-Secret'
STATUS_PATH = '/v1/status'
CONFIG_PATH = '/v1/config'
METRICS_PATH = '/v1/metrics'
REQUESTS_PATH = '/v1/requests/'
EXPOSITION_PATH = '/metrics'
