Feature: Links between processes recover from connections that go silent

  Scenario: A link whose connection delivers nothing any more is opened anew
    Given a link to a peer through a relay
    When the relay's open connections go silent, and messages are sent for 8 s
    Then the peer has received messages of the last 2 s
