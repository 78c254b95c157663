Feature: Routes with a host or a split

  Scenario: a route of one host takes precedence over a route of any host
    Given routes "/a" of any host, "/a" of "one.example" and "/a/b/" of "two.example"
    Then "/a/b/c" at "one.example" goes to "/a" of "one.example"
    And "/a/b/c" at "two.example" goes to "/a/b/" of "two.example"
    And "/a/b" at "two.example" goes to "/a" of any host
    And "/ab" at "one.example" matches no route

  Scenario Outline: an invalid split is refused: <fault>
    Given a team file whose route has <fault>
    Then the fleet is refused as "<kind>" at "<field>"

    Examples:
      | fault              | kind               | field                      |
      | an unknown service | unknown_service    | routes[0].split[1].service |
      | no weight          | limit_out_of_range | routes[0].split            |

  Scenario: one path may be claimed once for each host
    Given routes "/a" of any host, "/a" of "one.example" and "/a/b/" of "two.example"
    Then the fleet is accepted
