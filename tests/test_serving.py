"""The lookup of a request's route and workspace."""

import pytest

from thorncleat_gateway.store.serving import Route
from thorncleat_gateway.store.serving import RouteKind
from thorncleat_gateway.store.serving import ServingConfiguration
from thorncleat_gateway.store.serving import Split
from thorncleat_gateway.store.serving import Workspace


def route(name, prefix, host="Shop.example"):
    return Route(
        name, host, prefix, RouteKind.STREAMING, 1.0, 0.5, 0.3, 1, (Split("service", 1.0),)
    )


class TestRoutes:
    CONFIGURATION = ServingConfiguration(
        1,
        (route("short", "/a/"), route("long", "/a/b/"), route("other", "/a/", "other.example")),
        workspaces=(Workspace("growers", ("k1", "k2")), Workspace("chains", ("k3",))),
    )

    @pytest.mark.parametrize(
        ("host", "path", "expected"),
        [
            ("shop.example", "/a/x", "short"),
            ("shop.example", "/a/b/x", "long"),
            ("SHOP.example", "/a/b/", "long"),
            ("shop.example", "/a/bx", "short"),
            ("other.example", "/a/b/x", "other"),
            ("shop.example", "/a", None),
            ("shop.example", "", None),
            ("nobody.example", "/a/x", None),
        ],
    )
    def test_longest_prefix_of_the_host_wins(self, host, path, expected):
        found = self.CONFIGURATION.route_for(host, path)
        assert (found.name if found else None) == expected

    def test_workspace_is_found_by_its_key(self):
        assert self.CONFIGURATION.workspace_for("k2").name == "growers"
        assert self.CONFIGURATION.workspace_for("k3").name == "chains"
        assert self.CONFIGURATION.workspace_for("k") is None
